package dev.bambootray.adapters.http;

import java.util.function.Supplier;

/**
 * What the unauthenticated calls return.
 *
 * @param unhealthyReason why the node should be replaced, or an empty text
 * @param notReadyReason why the node takes no new work, or an empty text
 * @param metrics metrics in the Prometheus text format
 */
public record NodeProbes(
    Supplier<String> unhealthyReason, Supplier<String> notReadyReason, Supplier<String> metrics) {}
