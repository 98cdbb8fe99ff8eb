package dev.bambootray.ports.api;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.Explanation;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Operations that a node offers to callers and operators. Every method is safe to call from any
 * traffic thread; futures never complete exceptionally.
 */
public interface NodeApi {

  /** Returns the caller who holds a bearer token; an empty string means that there is no token. */
  Either<RequestError, Principal> authenticate(String bearerToken);

  /**
   * Submits a request and waits for its answer as long as the command says. A repeated idempotency
   * key refers to the request that was accepted first.
   */
  CompletableFuture<Either<RequestError, RequestView>> submit(SubmitCommand command);

  /** Reads a request, waiting up to the given milliseconds for its answer. */
  CompletableFuture<Either<RequestError, RequestView>> read(RequestKey key, long waitMs);

  /** Cancels a request; the view contains the final answer. */
  CompletableFuture<Either<RequestError, RequestView>> cancel(RequestKey key);

  /** Lists requests of a workspace. */
  CompletableFuture<Either<RequestError, RequestPage>> list(ListQuery query);

  /** Explains the current state of a request. */
  CompletableFuture<Either<RequestError, Explanation>> explain(RequestKey key);

  /** Returns the declaration in force on this node. */
  CompletableFuture<Either<RequestError, DeclarationText>> declaration();

  /** Returns an earlier declaration. */
  CompletableFuture<Either<RequestError, DeclarationText>> declaration(long version);

  /** Returns earlier declarations without their texts, newest first. */
  CompletableFuture<Either<RequestError, List<DeclarationText>>> history(int limit);

  /** Publishes a declaration if the current version is the expected one. */
  CompletableFuture<Either<RequestError, PublishResult>> publish(
      long expectedVersion, String text, String author);

  /** Returns the state of this node. */
  CompletableFuture<NodeStatus> status();

  /** Returns events after a sequence number, waiting up to the given milliseconds for one. */
  CompletableFuture<EventPage> events(long after, long waitMs);

  /** Begins a graceful shutdown of this node. */
  CompletableFuture<Either<RequestError, Boolean>> drainNode();

  /** Stops or resumes new work on a worker. */
  CompletableFuture<Either<RequestError, Boolean>> drainWorker(WorkerId worker, boolean drain);
}
