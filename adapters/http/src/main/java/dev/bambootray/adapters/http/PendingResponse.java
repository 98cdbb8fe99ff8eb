package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestError;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * A response that may not be there yet.
 *
 * @param source what the node was asked; cancelled when the caller disconnects
 * @param response the response that follows from it
 */
public record PendingResponse(
    CompletableFuture<?> source, CompletableFuture<ApiResponse> response) {

  /** Returns a response that is there. */
  public static PendingResponse now(ApiResponse response) {
    CompletableFuture<ApiResponse> done = CompletableFuture.completedFuture(response);
    return new PendingResponse(done, done);
  }

  /** Returns the response to a question that cannot fail. */
  public static <T> PendingResponse of(
      CompletableFuture<T> source, Function<T, ApiResponse> writer) {
    return new PendingResponse(source, source.thenApply(writer));
  }

  /** Returns the response to a question whose errors have the given statuses. */
  static <T> PendingResponse of(
      CompletableFuture<Either<RequestError, T>> source,
      ToIntFunction<RequestError> status,
      Function<T, ApiResponse> writer) {
    return of(
        source,
        result -> result.fold(error -> Problems.response(status.applyAsInt(error), error), writer));
  }

  /** Tells the node that nobody waits any more. */
  void cancel() {
    source.cancel(false);
  }
}
