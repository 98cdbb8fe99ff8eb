package dev.bambootray.core.node;

import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Calls to the table that are repeated until they are settled or given up.
 *
 * <p>A transaction is always repeated under its write token, so a lost answer does no harm.
 */
final class StoreCalls {
  private static final long FIRST_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 5_000;

  private final Outbox outbox;
  private final UniformRandomProvider random;
  private final List<Retry> retries = new ArrayList<>();
  private final NodeTime time;
  private boolean available = true;

  StoreCalls(Outbox outbox, NodeTime time, UniformRandomProvider random) {
    this.outbox = outbox;
    this.time = time;
    this.random = random;
  }

  /** Returns whether the table answered its last call. */
  boolean isAvailable() {
    return available;
  }

  /** Sends a transaction until it is settled; gives up with the last error at the given time. */
  void commit(
      TableTransaction transaction,
      long giveUpAtMs,
      Consumer<Either<StoreError, CommitResult>> continuation) {
    attempt(new Retry(transaction, giveUpAtMs, continuation, 0, 0, false));
  }

  /** Sends a transaction once, for parts that repeat their writes themselves. */
  void commitOnce(
      TableTransaction transaction, Consumer<Either<StoreError, CommitResult>> continuation) {
    outbox.commit(transaction, outcome -> continuation.accept(observe(outcome)));
  }

  void read(String key, Consumer<Either<StoreError, StoredRow>> continuation) {
    outbox.readRow(key, outcome -> continuation.accept(observe(outcome)));
  }

  void scan(
      String prefix,
      @Nullable String afterKey,
      int limit,
      Consumer<Either<StoreError, RowPage>> continuation) {
    outbox.scanRows(prefix, afterKey, limit, outcome -> continuation.accept(observe(outcome)));
  }

  void tick(long nowMs) {
    List<Retry> due = new ArrayList<>();
    for (Iterator<Retry> i = retries.iterator(); i.hasNext(); ) {
      Retry retry = i.next();
      if (retry.sendAtMs <= nowMs) {
        i.remove();
        due.add(retry);
      }
    }
    due.forEach(this::attempt);
  }

  private void attempt(Retry retry) {
    outbox.commit(retry.transaction, outcome -> ended(retry, observe(outcome)));
  }

  private void ended(Retry retry, Either<StoreError, CommitResult> outcome) {
    if (outcome.isRight()) {
      retry.continuation.accept(outcome);
      return;
    }
    StoreError error = outcome.getLeft();
    boolean maybeApplied = retry.maybeApplied || error.maybeApplied();
    if (time.nowMs() >= retry.giveUpAtMs) {
      retry.continuation.accept(
          Either.left(new StoreError(error.peer(), error.message(), maybeApplied)));
      return;
    }
    long ceiling = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(retry.attempts, 10));
    // Full jitter keeps the nodes from sending together when the store returns.
    long sendAtMs = Math.min(time.nowMs() + 1 + random.nextLong(ceiling), retry.giveUpAtMs);
    retries.add(
        new Retry(
            retry.transaction,
            retry.giveUpAtMs,
            retry.continuation,
            retry.attempts + 1,
            sendAtMs,
            maybeApplied));
  }

  private <T> Either<StoreError, T> observe(Either<StoreError, T> outcome) {
    available = outcome.isRight();
    return outcome;
  }

  /**
   * A transaction that waits to be sent again.
   *
   * @param transaction the transaction
   * @param giveUpAtMs when to give up
   * @param continuation what follows
   * @param attempts failed attempts so far
   * @param sendAtMs when to send it again
   * @param maybeApplied whether one of the attempts may have taken effect
   */
  private record Retry(
      TableTransaction transaction,
      long giveUpAtMs,
      Consumer<Either<StoreError, CommitResult>> continuation,
      int attempts,
      long sendAtMs,
      boolean maybeApplied) {}
}
