package dev.bambootray.adapters.relay;

import dev.bambootray.ports.RowStore;
import java.util.concurrent.CompletableFuture;

/**
 * A call of the store that can be made on several ways.
 *
 * @param <T> its outcome
 */
interface StoreCall<T> {
  /** What an outcome says about the way. */
  enum Verdict {
    /** The store answered. */
    ANSWERED,
    /** The store did nothing, or the call changes nothing. */
    REFUSED,
    /** The store may have carried it out, or may do so later. */
    UNKNOWN
  }

  /** Makes the call. */
  CompletableFuture<T> on(RowStore store);

  /** Judges an outcome. */
  Verdict verdict(T outcome);

  /** Returns the outcome of a call that failed unexpectedly. */
  T failed(Throwable error);
}
