package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.WriteQueue;
import dev.bambootray.core.store.WriteQueueEffect;
import dev.bambootray.core.store.WriteQueueEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/** Cost of the write queue against the number of jobs a day, and its traffic after an outage. */
final class WriteQueueBench {
  private static final int[] JOBS_A_DAY = {2_400, 24_000, 240_000};
  private static final int RECORD_BYTES = 1_500;
  private static final int INDEX_BYTES = 80;
  private static final double DAY_SECONDS = 86_400;
  private static final long STORE_MS = 10;

  private final VirtualClock clock = new VirtualClock();
  private final List<WriteQueue> queues = new ArrayList<>();
  private final Map<Long, Integer> perSecond = new TreeMap<>();
  private final UniformRandomProvider random;
  private boolean away;
  private long ids;
  private long transactions;
  private long rows;
  private long bytes;
  private long committed;
  private long lastCommitMs;

  private WriteQueueBench(int nodes, long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < nodes; i++) {
      queues.add(WriteQueue.create("node-" + i, random));
      offer(i, new WriteQueueEvent.NodesChanged(nodes));
    }
    clock.every(100, this::tick);
  }

  static void run(BenchReport report, ControlTotals totals, long seed, boolean quick) {
    for (int jobs : JOBS_A_DAY) {
      long forMs = quick ? 3_600_000 : 14_400_000;
      new WriteQueueBench(Fleet.MANY_NODES, seed).arrive(jobs, forMs / 4);
      WriteQueueBench bench = new WriteQueueBench(Fleet.MANY_NODES, seed);
      double cpu = CpuMeter.cpuSeconds();
      bench.arrive(jobs, forMs);
      double seconds = forMs / 1e3;
      double share = (CpuMeter.cpuSeconds() - cpu) / Fleet.MANY_NODES / seconds;
      report.addRow(
          "write queue", "jobs a day", jobs, "transactions/s", bench.transactions / seconds);
      report.addRow("write queue", "jobs a day", jobs, "rows/s", bench.rows / seconds);
      report.addRow("write queue", "jobs a day", jobs, "cpu % of a core", 100 * share);
      double bytes = bench.bytes / seconds / Fleet.FEW_NODES;
      report.addRow("write queue", "jobs a day", jobs, "bytes/s per node", bytes);
      if (jobs == JOBS_A_DAY[0]) {
        totals.add(share, 0, bytes);
        totals.addStore(bench.transactions / seconds, 0);
      }
    }
    burst(report, seed);
    outage(report, totals, seed, quick);
  }

  /** The jobs of a day arrive within a minute. */
  private static void burst(BenchReport report, long seed) {
    WriteQueueBench bench = new WriteQueueBench(Fleet.MANY_NODES, seed);
    bench.arrive(JOBS_A_DAY[0] * 1_440, 60_000);
    bench.clock.run(60_000);
    report.addRow(
        "write queue", "jobs in 60 s", JOBS_A_DAY[0], "peak transactions/s", bench.peak());
    report.addRow(
        "write queue",
        "jobs in 60 s",
        JOBS_A_DAY[0],
        "rows/transaction",
        bench.rows / (double) bench.transactions);
    report.addRow(
        "write queue",
        "jobs in 60 s",
        JOBS_A_DAY[0],
        "peak transactions/s over 10 s",
        bench.peakOfTenSeconds());
    report.measure("burst_transactions_per_second", bench.peakOfTenSeconds());
  }

  /** Every node holds as many requests as it may when the table returns. */
  private static void outage(BenchReport report, ControlTotals totals, long seed, boolean quick) {
    for (int held : new int[] {100, 300, 1_000}) {
      long before = CpuMeter.liveBytes();
      WriteQueueBench bench = new WriteQueueBench(Fleet.MANY_NODES, seed);
      bench.away = true;
      for (int node = 0; node < Fleet.MANY_NODES; node++) {
        for (int i = 0; i < held; i++) {
          bench.accept(node);
        }
      }
      bench.clock.run(quick ? 120_000 : 1_800_000);
      double heap = Math.max(0, CpuMeter.liveBytes() - before) / (double) Fleet.MANY_NODES;
      bench.away = false;
      bench.perSecond.clear();
      bench.committed = 0;
      long backMs = bench.clock.nowMs();
      bench.clock.run(120_000);
      report.addRow("write queue", "held per node", held, "heap KiB per node", heap / 1024);
      report.addRow("write queue", "held per node", held, "peak transactions/s", bench.peak());
      report.addRow(
          "write queue", "held per node", held, "written after ms", bench.lastCommitMs - backMs);
      report.measure("return_transactions_per_second", bench.peak());
      report.measure("return_lost_writes", held * (double) Fleet.MANY_NODES - bench.committed);
      if (held == 1_000) {
        totals.add(0, heap, 0);
      }
    }
  }

  private void arrive(int jobsADay, long forMs) {
    long untilMs = clock.nowMs() + forMs;
    double meanMs = DAY_SECONDS * 1e3 / jobsADay;
    arriveNext(meanMs, untilMs);
    clock.run(forMs);
  }

  private void arriveNext(double meanMs, long untilMs) {
    long waitMs = 1 + (long) (-Math.log(1 - random.nextDouble()) * meanMs);
    if (clock.nowMs() + waitMs < untilMs) {
      clock.after(
          waitMs,
          () -> {
            job(random.nextInt(queues.size()));
            arriveNext(meanMs, untilMs);
          });
    }
  }

  /** A job is accepted, its intent is recorded, and its answer replaces the index row. */
  private void job(int node) {
    String key = accept(node);
    clock.after(200, () -> submit(node, row("request/" + key, record())));
    clock.after(
        60_000, () -> submit(node, row("request/" + key, record()), row("open/" + key, null)));
  }

  private String accept(int node) {
    String key = "team/" + ++ids;
    submit(node, row("request/" + key, record()), row("open/" + key, index()));
    return key;
  }

  /** Each row has a text of its own, so that the measured heap holds it. */
  private static String record() {
    return "x".repeat(RECORD_BYTES);
  }

  private static String index() {
    return "x".repeat(INDEX_BYTES);
  }

  private static RowWrite row(String key, @Nullable String value) {
    return new RowWrite(key, value, RowWrite.ANY_VERSION);
  }

  private void submit(int node, RowWrite... writes) {
    offer(node, new WriteQueueEvent.WriteSubmitted(++ids, List.of(writes), false, Long.MAX_VALUE));
  }

  private void tick() {
    for (int i = 0; i < queues.size(); i++) {
      offer(i, new WriteQueueEvent.Tick());
    }
  }

  private void offer(int node, WriteQueueEvent event) {
    for (WriteQueueEffect effect : queues.get(node).handle(event, clock.nowMs())) {
      if (effect instanceof WriteQueueEffect.SendTransaction send) {
        String token = send.transaction().writeToken();
        List<RowWrite> writes = send.transaction().writes();
        perSecond.merge(clock.nowMs() / 1_000, 1, Integer::sum);
        transactions++;
        rows += writes.size();
        writes.forEach(
            w -> bytes += 60 + w.key().length() + (w.value() == null ? 0 : w.value().length()));
        WriteQueueEvent answer =
            away
                ? new WriteQueueEvent.CommitFailed(token, new StoreError("table", "away", false))
                : new WriteQueueEvent.CommitAnswered(
                    token, new CommitResult.Committed(Collections.nCopies(writes.size(), 1L)));
        clock.after(STORE_MS, () -> offer(node, answer));
      } else if (effect instanceof WriteQueueEffect.WriteCommitted) {
        committed++;
        lastCommitMs = clock.nowMs();
      }
    }
  }

  private int peak() {
    return perSecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** Returns the highest average over 10 s. */
  private double peakOfTenSeconds() {
    int most = 0;
    for (long from : perSecond.keySet()) {
      int sum = 0;
      for (long second = from; second < from + 10; second++) {
        sum += perSecond.getOrDefault(second, 0);
      }
      most = Math.max(most, sum);
    }
    return most / 10.0;
  }
}
