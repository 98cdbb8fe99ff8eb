package dev.bambootray.adapters.telemetry;

import org.jspecify.annotations.Nullable;

/**
 * How a node traces.
 *
 * @param node name of the node
 * @param sampleShare share of traces that begin on this node and are recorded, 0 to 1; a trace that
 *     a caller began is recorded if the caller says so
 * @param otlpEndpoint where spans are sent by OTLP over gRPC, or null to send none
 */
public record TracingSettings(String node, double sampleShare, @Nullable String otlpEndpoint) {}
