package dev.bambootray.adapters.relay;

import dev.bambootray.ports.RowStore;
import java.util.concurrent.CompletableFuture;

/**
 * A store call that can be attempted more than once, directly and through other nodes.
 *
 * @param <T> its outcome
 */
interface StoreCall<T> {
  /** Whether the store answered an attempt, and whether it may have applied it. */
  enum OutcomeKind {
    /** The store answered. */
    ANSWERED,
    /** The attempt failed and was not applied, or it changes nothing anyway. */
    REFUSED,
    /** The store may have applied the attempt or may still do so. */
    UNKNOWN
  }

  /** Makes the call on the given store. */
  CompletableFuture<T> sendTo(RowStore store);

  /** Classifies an outcome. */
  OutcomeKind kindOf(T outcome);

  /** Returns the outcome of a call that failed unexpectedly. */
  T failureOutcome(Throwable error);
}
