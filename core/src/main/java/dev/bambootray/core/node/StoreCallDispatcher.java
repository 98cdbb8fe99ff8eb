package dev.bambootray.core.node;

import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import dev.bambootray.core.store.WriteQueue;
import dev.bambootray.core.store.WriteQueueEffect;
import dev.bambootray.core.store.WriteQueueEvent;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the table. Writes of request records go through the node's write queue, which
 * batches them and repeats them until they are settled; other callers repeat their own calls.
 */
final class StoreCallDispatcher {
  private final Outbox outbox;
  private final EventClock clock;
  private final WriteQueue queue;
  private final Map<Long, Consumer<Either<StoreError, CommitResult>>> waiting = new HashMap<>();
  private boolean lastCallSucceeded = true;
  private long lastId;

  StoreCallDispatcher(Outbox outbox, EventClock clock, WriteQueue queue) {
    this.outbox = outbox;
    this.clock = clock;
    this.queue = queue;
  }

  /** Returns whether the table answered its last call and the write queue can write. */
  boolean isAvailable() {
    return lastCallSucceeded && queue.isAvailable();
  }

  /**
   * Writes rows together. The outcome is an error only if they were never sent; once sent, they are
   * repeated until the table answers.
   *
   * @param dropAfterMs time after which rows that were not sent yet are dropped
   */
  void write(
      List<RowWrite> rows,
      long dropAfterMs,
      Consumer<Either<StoreError, CommitResult>> continuation) {
    long id = ++lastId;
    waiting.put(id, continuation);
    handle(new WriteQueueEvent.WriteSubmitted(id, rows, false, dropAfterMs));
  }

  /** Sends a transaction once, for callers that repeat their writes themselves. */
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

  void tick() {
    handle(new WriteQueueEvent.Tick());
  }

  /** Sets the number of nodes that share the permitted rate of writes. */
  void nodesChanged(int nodes) {
    handle(new WriteQueueEvent.NodesChanged(nodes));
  }

  private void handle(WriteQueueEvent event) {
    queue.handle(event, clock.nowMs()).forEach(this::apply);
  }

  private void apply(WriteQueueEffect effect) {
    if (effect instanceof WriteQueueEffect.SendTransaction send) {
      String token = send.transaction().writeToken();
      outbox.commit(
          send.transaction(),
          outcome ->
              handle(
                  outcome.fold(
                      error -> new WriteQueueEvent.CommitFailed(token, error),
                      result -> new WriteQueueEvent.CommitAnswered(token, result))));
    } else if (effect instanceof WriteQueueEffect.WriteCommitted committed) {
      settle(committed.id(), Either.right(new CommitResult.Committed(committed.versions())));
    } else if (effect instanceof WriteQueueEffect.WriteConflicted conflicted) {
      settle(conflicted.id(), Either.right(new CommitResult.Conflict(conflicted.current())));
    } else if (effect instanceof WriteQueueEffect.OperationRejected rejected) {
      settle(rejected.id(), Either.left(new StoreError("table", rejected.reason(), false)));
    }
  }

  private void settle(long id, Either<StoreError, CommitResult> outcome) {
    Consumer<Either<StoreError, CommitResult>> continuation = waiting.remove(id);
    if (continuation != null) {
      continuation.accept(outcome);
    }
  }

  private <T> Either<StoreError, T> observe(Either<StoreError, T> outcome) {
    lastCallSucceeded = outcome.isRight();
    return outcome;
  }
}
