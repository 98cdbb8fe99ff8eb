package dev.bambootray.ports.api;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.Explanation;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * What callers and operators can ask of a node. Every method is safe to call from any traffic
 * thread; futures never complete with a throw.
 */
public interface NodeApi {

  /** Returns who holds a bearer token; an empty text stands for no token. */
  Either<RequestError, Principal> authenticate(String bearerToken);

  /**
   * Submits a request and waits for its answer as long as the command says. A repeated idempotency
   * key meets the request that was accepted first.
   */
  CompletableFuture<Either<RequestError, RequestView>> submit(SubmitCommand command);

  /** Reads a request, waiting up to the given milliseconds for its answer. */
  CompletableFuture<Either<RequestError, RequestView>> read(RequestKey key, long waitMs);

  /** Cancels a request; the view tells the answer that stands in the end. */
  CompletableFuture<Either<RequestError, RequestView>> cancel(RequestKey key);

  /** Lists requests of a workspace. */
  CompletableFuture<Either<RequestError, RequestPage>> list(ListQuery query);

  /** Tells why a request is where it is. */
  CompletableFuture<Either<RequestError, Explanation>> explain(RequestKey key);

  /** Returns the declaration in force on this node. */
  CompletableFuture<Either<RequestError, DeclarationText>> declaration();

  /** Returns a former declaration. */
  CompletableFuture<Either<RequestError, DeclarationText>> declaration(long version);

  /** Returns former declarations without their texts, newest first. */
  CompletableFuture<Either<RequestError, List<DeclarationText>>> history(int limit);

  /** Publishes a declaration on condition that the current version is the given one. */
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
