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
    Step step,
    String peer,
    String message,
    RunState ran,
    boolean retryable,
    @Nullable Long retryAfterMs) {

  /** Returns an error for a request that did not run and may be sent again after a delay. */
  public static RequestError notRun(Step step, String peer, String message, long retryAfterMs) {
    return new RequestError(step, peer, message, RunState.NO, true, retryAfterMs);
  }

  /** Returns an error for a request that did not run and never can. */
  public static RequestError impossible(Step step, String peer, String message) {
    return new RequestError(step, peer, message, RunState.NO, false, null);
  }

  /** Returns an error for a request that may or may not have run. */
  public static RequestError unknown(Step step, String peer, String message) {
    return new RequestError(step, peer, message, RunState.UNKNOWN, false, null);
  }

  /** Returns this error with "unknown" in place of "not run". */
  public RequestError withoutCertainty(String reason) {
    return ran == RunState.NO
        ? new RequestError(
            step, peer, message + "; " + reason, RunState.UNKNOWN, retryable, retryAfterMs)
        : this;
  }

  /** Returns an error for a request that ran and failed. */
  public static RequestError failed(Step step, String peer, String message) {
    return new RequestError(step, peer, message, RunState.YES, false, null);
  }
}
