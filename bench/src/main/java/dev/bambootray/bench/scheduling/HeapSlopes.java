package dev.bambootray.bench.scheduling;

import dev.bambootray.bench.report.BenchReport;
import java.util.Locale;

/** Measures heap for each worker, task and queued job as slopes between two sizes. */
final class HeapSlopes {
  private static final int SMALL = 1_000;
  private static final int LARGE = 3_000;
  private static final int JOBS = 8_000;

  private HeapSlopes() {}

  /** Adds a row for each slope. */
  static void measure(BenchReport report) {
    long base = heapBytes(SMALL, 0, 0);
    add(report, "worker with 12 accelerators", (heapBytes(LARGE, 0, 0) - base) / (LARGE - SMALL));
    add(report, "accelerator", (heapBytes(LARGE, 0, 0) - base) / (LARGE - SMALL) / 12);
    add(report, "running one-member task", (heapBytes(SMALL, JOBS, 0) - base) / JOBS);
    add(report, "queued job", (heapBytes(SMALL, 0, JOBS) - base) / JOBS);
  }

  private static void add(BenchReport report, String unit, long bytes) {
    report.addRow("heap", unit, String.format(Locale.ROOT, "%d bytes", bytes));
  }

  private static long heapBytes(int workers, int tasks, int queued) {
    long before = usedAfterCollection();
    Object scheduler = DecisionCost.loaded(workers, tasks, queued);
    long used = usedAfterCollection() - before;
    if (scheduler.hashCode() == 0) {
      throw new IllegalStateException("unreachable: keeps the scheduler alive until here");
    }
    return used;
  }

  private static long usedAfterCollection() {
    Runtime runtime = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
