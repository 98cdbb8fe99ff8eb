package dev.bambootray.adapters.relay;

import dev.bambootray.ports.RowStore;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

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

  /**
   * Finds out whether a store answers, for a call whose repetition would have to wait behind its
   * first attempt: the store applies the transactions of a partition one after another.
   *
   * @return whether it answered, or null for a call that may be repeated at any time
   */
  default @Nullable CompletableFuture<Boolean> probe(RowStore store) {
    return null;
  }

  /** Returns the outcome of a call that failed unexpectedly. */
  T failureOutcome(Throwable error);
}
