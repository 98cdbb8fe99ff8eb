package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowPartitions;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;

/**
 * A store in virtual time that applies the transactions of a partition one after another and
 * refuses them while more than a second of them is waiting, as the platform's store does.
 */
final class SlowPartitionedStore implements RowStore {
  private static final long MAX_BACKLOG_MS = 1_000;

  private record Timer(long atMs, long order, Runnable action) {}

  private final RowPartitions partitions;
  private final long transactionMs;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::order));
  private final Map<String, Long> busyUntilMs = new HashMap<>();
  private final Map<String, Row> rows = new HashMap<>();
  private long version;
  private long nowMs;
  private long order;

  SlowPartitionedStore(RowPartitions partitions, long transactionMs) {
    this.partitions = partitions;
    this.transactionMs = transactionMs;
  }

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable action) {
    timers.add(new Timer(atMs, order++, action));
  }

  /** Advances the virtual time. */
  void runUntil(long endMs) {
    while (!timers.isEmpty() && timers.element().atMs() <= endMs) {
      Timer next = timers.remove();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
    nowMs = endMs;
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    CompletableFuture<CommitOutcome> answer = new CompletableFuture<>();
    RowChange first = changes.get(0);
    String partition = partitions.partitionOf(first.table(), first.key());
    long beginMs = Math.max(nowMs, busyUntilMs.getOrDefault(partition, 0L));
    if (beginMs - nowMs > MAX_BACKLOG_MS) {
      at(nowMs + 1, () -> answer.complete(new CommitOutcome.Refused("busy")));
      return answer;
    }
    long endMs = beginMs + transactionMs;
    busyUntilMs.put(partition, endMs);
    at(endMs, () -> answer.complete(apply(conditions, changes)));
    at(nowMs + timeoutMs, () -> answer.complete(new CommitOutcome.Unknown("no answer in time")));
    return answer;
  }

  private CommitOutcome apply(List<RowCondition> conditions, List<RowChange> changes) {
    List<Row> found = new ArrayList<>();
    boolean conditionsHold = true;
    for (RowCondition condition : conditions) {
      Row row = rows.get(condition.table() + "/" + condition.key());
      conditionsHold &= (row == null ? 0 : row.version()) == condition.version();
      if (row != null) {
        found.add(row);
      }
    }
    if (!conditionsHold) {
      return new CommitOutcome.Conflict(found);
    }
    version++;
    for (RowChange change : changes) {
      byte[] value = change.value();
      rows.put(
          change.table() + "/" + change.key(),
          new Row(
              change.table(), change.key(), value == null ? new byte[0] : value, version, false));
    }
    return new CommitOutcome.Committed(version);
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    return CompletableFuture.completedFuture(
        Either.right(new RowReadPage(List.of(), false, version)));
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    return new CompletableFuture<>();
  }
}
