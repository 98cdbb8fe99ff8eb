package dev.bambootray.core.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates several write queues on one table with delayed answers; faults are drawn from a seed.
 */
final class StoreSimulation {
  private final UniformRandomProvider random;
  private final List<WriteQueue> queues = new ArrayList<>();
  private final List<List<WriteQueueEffect>> effects = new ArrayList<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, CommitResult> byToken = new HashMap<>();
  private final Map<String, List<Long>> applied = new TreeMap<>();
  private final PriorityQueue<DelayedAnswer> answers =
      new PriorityQueue<>(
          Comparator.comparingLong(DelayedAnswer::atMs).thenComparingLong(DelayedAnswer::number));
  private final Map<Long, Integer> transactions = new TreeMap<>();
  private final Map<Long, Integer> reads = new TreeMap<>();
  private double lostAnswers;
  private double failures;
  private boolean outage;
  private long outageSinceMs;
  private long outageCalls;
  private long number;
  private long ids;
  long nowMs = 1_000_000;

  StoreSimulation(long seed, int nodes) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < nodes; i++) {
      queues.add(WriteQueue.create("n" + i, random));
      effects.add(new ArrayList<>());
      offer(i, new WriteQueueEvent.NodesChanged(nodes));
    }
  }

  StoreSimulation loseAnswers(double rate) {
    lostAnswers = rate;
    return this;
  }

  StoreSimulation fail(double rate) {
    failures = rate;
    return this;
  }

  void setOutage(boolean started) {
    outage = started;
    outageSinceMs = started ? nowMs : outageSinceMs;
  }

  /** Submits a write of one row whose value is the number of the write, from 1. */
  void write(int node, String key, long expectedVersion, boolean urgent) {
    long id = ++ids;
    RowWrite write = new RowWrite(key, String.valueOf(id), expectedVersion);
    long dropAfterMs = urgent ? nowMs + 2_000 : Long.MAX_VALUE;
    offer(node, new WriteQueueEvent.WriteSubmitted(id, List.of(write), urgent, dropAfterMs));
  }

  void read(int node) {
    offer(node, new WriteQueueEvent.ReadSubmitted(++ids, new StoreRead.Row("a")));
  }

  void run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += 10;
      while (!answers.isEmpty() && answers.peek().atMs() <= nowMs) {
        DelayedAnswer next = answers.poll();
        offer(next.node(), next.event());
      }
      for (int i = 0; i < queues.size() && nowMs % 50 == 0; i++) {
        offer(i, new WriteQueueEvent.Tick());
      }
    }
  }

  boolean isAvailable(int node) {
    return queues.get(node).isAvailable();
  }

  List<Long> committed(int node) {
    return effects.get(node).stream()
        .filter(WriteQueueEffect.WriteCommitted.class::isInstance)
        .map(effect -> ((WriteQueueEffect.WriteCommitted) effect).id())
        .toList();
  }

  List<Long> conflicted(int node) {
    return effects.get(node).stream()
        .filter(WriteQueueEffect.WriteConflicted.class::isInstance)
        .map(effect -> ((WriteQueueEffect.WriteConflicted) effect).id())
        .toList();
  }

  List<Long> rejected(int node) {
    return effects.get(node).stream()
        .filter(WriteQueueEffect.OperationRejected.class::isInstance)
        .map(effect -> ((WriteQueueEffect.OperationRejected) effect).id())
        .toList();
  }

  Set<Long> settled(int node) {
    Set<Long> settled = new HashSet<>(committed(node));
    settled.addAll(conflicted(node));
    return settled;
  }

  List<Long> appliedTo(String key) {
    return applied.getOrDefault(key, List.of());
  }

  int appliedCount() {
    return appliedWithPrefix("");
  }

  int appliedWithPrefix(String prefix) {
    return applied.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToInt(entry -> entry.getValue().size())
        .sum();
  }

  void clearCounts() {
    transactions.clear();
    reads.clear();
  }

  Map<Long, Integer> perSecond() {
    return transactions;
  }

  int mostTransactionsInASecond() {
    return transactions.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  int mostTransactionsInTenSeconds() {
    return transactions.keySet().stream()
        .mapToInt(
            from ->
                transactions.entrySet().stream()
                    .filter(entry -> entry.getKey() >= from && entry.getKey() < from + 10)
                    .mapToInt(Map.Entry::getValue)
                    .sum())
        .max()
        .orElse(0);
  }

  int mostReadsInASecond() {
    return reads.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  double callsPerSecondDuringOutage() {
    return outageCalls * 1_000.0 / (nowMs - outageSinceMs);
  }

  private void offer(int node, WriteQueueEvent event) {
    for (WriteQueueEffect effect : queues.get(node).handle(event, nowMs)) {
      if (effect instanceof WriteQueueEffect.SendTransaction send) {
        transactions.merge(nowMs / 1_000, 1, Integer::sum);
        answer(node, commit(send.transaction()));
      } else if (effect instanceof WriteQueueEffect.SendRead send) {
        reads.merge(nowMs / 1_000, 1, Integer::sum);
        outageCalls += outage ? 1 : 0;
        answer(
            node,
            outage
                ? new WriteQueueEvent.ReadFailed(send.id(), error(false))
                : new WriteQueueEvent.ReadAnswered(send.id()));
      } else {
        effects.get(node).add(effect);
      }
    }
  }

  private WriteQueueEvent commit(TableTransaction transaction) {
    outageCalls += outage ? 1 : 0;
    if (outage || random.nextDouble() < failures) {
      return new WriteQueueEvent.CommitFailed(transaction.writeToken(), error(false));
    }
    CommitResult result = byToken.get(transaction.writeToken());
    if (result == null) {
      result = apply(transaction);
      if (result instanceof CommitResult.Committed) {
        byToken.put(transaction.writeToken(), result);
      }
    }
    return random.nextDouble() < lostAnswers
        ? new WriteQueueEvent.CommitFailed(transaction.writeToken(), error(true))
        : new WriteQueueEvent.CommitAnswered(transaction.writeToken(), result);
  }

  private CommitResult apply(TableTransaction transaction) {
    List<StoredRow> failed = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      long version = versions.getOrDefault(write.key(), 0L);
      if (write.expectedVersion() != RowWrite.ANY_VERSION && write.expectedVersion() != version) {
        failed.add(new StoredRow(write.key(), "", version));
      }
    }
    if (!failed.isEmpty()) {
      return new CommitResult.Conflict(failed);
    }
    List<Long> changed = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      changed.add(versions.merge(write.key(), 1L, Long::sum));
      applied
          .computeIfAbsent(write.key(), key -> new ArrayList<>())
          .add(Long.parseLong(write.value()));
    }
    return new CommitResult.Committed(changed);
  }

  private static StoreError error(boolean maybeApplied) {
    return new StoreError("table", "no answer", maybeApplied);
  }

  private void answer(int node, WriteQueueEvent event) {
    answers.add(new DelayedAnswer(nowMs + 10, ++number, node, event));
  }

  private record DelayedAnswer(long atMs, long number, int node, WriteQueueEvent event) {}
}
