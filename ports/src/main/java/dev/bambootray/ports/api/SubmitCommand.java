package dev.bambootray.ports.api;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request before it is checked against the declaration.
 *
 * @param key workspace and idempotency key
 * @param template the template
 * @param parametersJson the parameters as a JSON object
 * @param deadlineInMs time until the answer is due, in milliseconds
 * @param repeatable whether it may run more than once; null for the template's default
 * @param urgent whether it claims guaranteed capacity at once
 * @param traceparent W3C trace context of the caller, or empty
 * @param waitMs how long the caller waits for the answer on its connection, in milliseconds; 0 to
 *     return as soon as the request is accepted
 */
public record SubmitCommand(
    RequestKey key,
    TemplateId template,
    String parametersJson,
    long deadlineInMs,
    @Nullable Boolean repeatable,
    boolean urgent,
    String traceparent,
    long waitMs) {}
