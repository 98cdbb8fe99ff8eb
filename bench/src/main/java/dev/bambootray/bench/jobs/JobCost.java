package dev.bambootray.bench.jobs;

import com.sun.management.ThreadMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Time and allocation of the scheduler's events by the size of the pool, at the usual load. */
final class JobCost {
  /** Sizes of the users' deployments today and after growth, and of the two-year target. */
  private static final List<Integer> SIZES = List.of(33, 246, 1_000, 3_968);

  private static final long SEED = 1;

  private JobCost() {}

  static int measure(PrintStream out) {
    JobDeployment base = JobDeployment.secondGrown();
    // The first round pays for the compiler.
    JobReplay.times(base, SEED);
    out.println("workers  events  events/s  p50 us  p99 us  max ms  core share");
    for (int size : SIZES) {
      long before = allocated();
      Histogram nanos = JobReplay.times(base.resized(size), SEED);
      long bytes = allocated() - before;
      print(out, size, nanos, bytes);
    }
    return 0;
  }

  private static void print(PrintStream out, int size, Histogram nanos, long bytes) {
    double seconds = JobLoad.ARRIVALS_MS / 1_000.0;
    double busy = nanos.getMean() * nanos.getTotalCount() / 1e9 / seconds;
    out.println(
        String.format(
            Locale.ROOT,
            "%7d  %6d  %8.0f  %6.0f  %6.0f  %6.1f  %10.3f   (%.0f MB/s with the model)",
            size,
            nanos.getTotalCount(),
            nanos.getTotalCount() / seconds,
            nanos.getValueAtPercentile(50) / 1e3,
            nanos.getValueAtPercentile(99) / 1e3,
            nanos.getMaxValue() / 1e6,
            busy,
            bytes / 1e6 / seconds));
  }

  private static long allocated() {
    return ManagementFactory.getThreadMXBean() instanceof ThreadMXBean threads
        ? threads.getCurrentThreadAllocatedBytes()
        : 0;
  }
}
