package dev.bambootray.bench.jobs;

import com.sun.management.ThreadMXBean;
import dev.bambootray.bench.report.BenchReport;
import java.lang.management.ManagementFactory;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures time and allocation of the scheduler's events by the size of the pool. */
@Command(
    name = "job-cost",
    description = "Measures the job scheduler's decisions by the size of the pool.",
    mixinStandardHelpOptions = true)
public final class JobCost implements Callable<Integer> {
  private static final long SEED = 1;
  private static final double NANOS_PER_MS = 1e6;
  private static final double NANOS_PER_S = 1e9;

  /** Sizes of the users' deployments today and after growth, and of the two-year target. */
  @Option(
      names = "--workers",
      split = ",",
      defaultValue = "33,246,1000,3968",
      description = "Sizes of the pool, by default ${DEFAULT-VALUE}.")
  private int[] sizes = new int[0];

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  /** Creates the command with its default options. */
  public JobCost() {}

  @Override
  public Integer call() {
    BenchReport report =
        BenchReport.create(
            "job-cost", "workers", "events/s", "p50 ms", "p99 ms", "max ms", "cores", "MB/s");
    JobDeployment base = JobDeployment.secondGrown();
    // The first play pays for the compiler.
    JobReplay.times(base.resized(sizes[0]), SEED);
    for (int size : sizes) {
      long before = allocated();
      Histogram nanos = JobReplay.times(base.resized(size), SEED);
      addRow(report, size, nanos, allocated() - before);
    }
    return report.print(System.out, json);
  }

  private static void addRow(BenchReport report, int size, Histogram nanos, long bytes) {
    double seconds = JobLoad.ARRIVALS_MS / 1_000.0;
    double p99Ms = nanos.getValueAtPercentile(99) / NANOS_PER_MS;
    report.measure("event_p99_ms", p99Ms);
    report.addRow(
        size,
        nanos.getTotalCount() / seconds,
        nanos.getValueAtPercentile(50) / NANOS_PER_MS,
        p99Ms,
        nanos.getMaxValue() / NANOS_PER_MS,
        nanos.getMean() * nanos.getTotalCount() / NANOS_PER_S / seconds,
        bytes / 1e6 / seconds);
  }

  /** Returns the bytes that this thread has allocated; the pool's model is part of it. */
  private static long allocated() {
    return ManagementFactory.getThreadMXBean() instanceof ThreadMXBean threads
        ? threads.getCurrentThreadAllocatedBytes()
        : 0;
  }
}
