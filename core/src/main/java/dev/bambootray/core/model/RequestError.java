package dev.bambootray.core.model;

import org.jspecify.annotations.Nullable;

/**
 * An error that ended a request.
 *
 * @param step the step at which it arose
 * @param peer the node, worker or platform part at which it arose, or {@code local}
 * @param message what went wrong, one plain sentence without secrets
 * @param ran whether the request ran
 * @param retryable whether the caller may send the same request again
 * @param retryAfterMs when the caller should try again, in milliseconds from now; null if it should
 *     not
 */
public record RequestError(
    RequestStep step,
    String peer,
    String message,
    ExecutionStatus ran,
    boolean retryable,
    @Nullable Long retryAfterMs) {

  /** Returns an error for a request that did not run and may be sent again after a delay. */
  public static RequestError notRun(
      RequestStep step, String peer, String message, long retryAfterMs) {
    return new RequestError(step, peer, message, ExecutionStatus.NO, true, retryAfterMs);
  }

  /** Returns an error for a request that did not run and never can. */
  public static RequestError impossible(RequestStep step, String peer, String message) {
    return new RequestError(step, peer, message, ExecutionStatus.NO, false, null);
  }

  /** Returns an error for a request that may or may not have run. */
  public static RequestError unknown(RequestStep step, String peer, String message) {
    return new RequestError(step, peer, message, ExecutionStatus.UNKNOWN, false, null);
  }

  /** Returns this error with "unknown" in place of "not run". */
  public RequestError withUnknownExecution(String reason) {
    return ran == ExecutionStatus.NO
        ? new RequestError(
            step, peer, message + "; " + reason, ExecutionStatus.UNKNOWN, retryable, retryAfterMs)
        : this;
  }

  /** Returns an error for a request that ran and failed. */
  public static RequestError failed(RequestStep step, String peer, String message) {
    return new RequestError(step, peer, message, ExecutionStatus.YES, false, null);
  }
}
