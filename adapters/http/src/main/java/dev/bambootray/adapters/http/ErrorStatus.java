package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestError;

/**
 * Maps errors of the node to HTTP statuses. A {@link RequestError} carries no status, so its step
 * and whether it is retryable decide, together with the kind of call.
 */
final class ErrorStatus {
  private ErrorStatus() {}

  /** Returns the status of a refused submission. */
  static int ofSubmit(RequestError error) {
    return switch (error.step()) {
      case AUTHENTICATION -> 401;
      case CONFIGURATION -> error.retryable() ? 503 : 404;
      case RECORD -> error.retryable() ? 503 : 409;
      case ADMISSION, PLACEMENT -> error.retryable() ? 503 : 422;
      case QUEUE -> 429;
      case FORWARD, DISPATCH, RUN, ANSWER -> 503;
    };
  }

  /** Returns the status of a failed call on something that is named by its path. */
  static int ofLookup(RequestError error) {
    return switch (error.step()) {
      case AUTHENTICATION -> 401;
      case QUEUE -> 429;
      case ADMISSION, PLACEMENT, RECORD, CONFIGURATION -> error.retryable() ? 503 : 404;
      case FORWARD, DISPATCH, RUN, ANSWER -> 503;
    };
  }

  /**
   * Returns the status that an error inside an answer carries as information; the call itself has
   * status 200.
   */
  static int ofAnswer(RequestError error) {
    return switch (error.step()) {
      case RUN -> 500;
      case RECORD -> 503;
      default -> ofSubmit(error);
    };
  }
}
