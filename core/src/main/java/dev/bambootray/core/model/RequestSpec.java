package dev.bambootray.core.model;

/**
 * A validated request as a caller submitted it.
 *
 * @param key workspace and idempotency key
 * @param template the template of the request
 * @param parametersJson the parameters as a JSON object, at most 64 KiB
 * @param deadlineAtMs when its answer is due, in milliseconds since the epoch
 * @param repeatable whether it may run more than once
 * @param urgent whether it claims guaranteed capacity at once
 * @param submittedAtMs when it was accepted, in milliseconds since the epoch
 * @param traceparent the W3C trace context of the caller's span, or empty
 */
public record RequestSpec(
    RequestKey key,
    TemplateId template,
    String parametersJson,
    long deadlineAtMs,
    boolean repeatable,
    boolean urgent,
    long submittedAtMs,
    String traceparent) {

  /** Returns this request with the trace context of another span. */
  public RequestSpec withTraceparent(String newTraceparent) {
    return new RequestSpec(
        key,
        template,
        parametersJson,
        deadlineAtMs,
        repeatable,
        urgent,
        submittedAtMs,
        newTraceparent);
  }
}
