package dev.bambootray.core.model;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * The final answer of a request: a result or an error.
 *
 * @param key the request
 * @param resultJson the result as JSON, or null if there is an error or a reference
 * @param resultReference name of the result in the object store, or null
 * @param error the error, or null if the request succeeded
 */
public record Answer(
    RequestKey key,
    @Nullable String resultJson,
    @Nullable String resultReference,
    @Nullable RequestError error) {

  /** Returns the answer that carries a result. */
  public static Answer success(RequestKey key, String resultJson) {
    return new Answer(key, resultJson, null, null);
  }

  /** Returns the answer whose result lies in the object store. */
  public static Answer reference(RequestKey key, String resultReference) {
    return new Answer(key, null, resultReference, null);
  }

  /** Returns the answer that carries an error. */
  public static Answer failure(RequestKey key, RequestError error) {
    return new Answer(key, null, null, error);
  }

  /** Returns whether the request ran. */
  public ExecutionStatus ran() {
    return error == null ? ExecutionStatus.YES : error.ran();
  }

  /**
   * Returns this answer with "unknown" in place of "not run", for requests that may have run
   * without a record.
   */
  public Answer withUnknownExecution() {
    return error == null
        ? this
        : failure(
            key, error.withUnknownExecution("an earlier owner of the region may have run it"));
  }

  /** Returns the error on the left, or the inline result or reference on the right. */
  public Either<RequestError, String> toEither() {
    if (error != null) {
      return Either.left(error);
    }
    String result = resultJson != null ? resultJson : resultReference;
    return Either.right(result == null ? "null" : result);
  }
}
