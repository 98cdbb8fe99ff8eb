package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import java.io.PrintStream;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the cost of membership, ownership, configuration, the write queue and worker polling
 * against the size of a deployment, in virtual time with a seed.
 */
@Command(
    name = "control",
    description = "Measures the cost of the control parts against the size of a deployment.",
    mixinStandardHelpOptions = true)
public final class ControlCommand implements Callable<Integer> {
  @Option(names = "--quick", description = "Shorter runs, under 45 s.")
  private boolean quick;

  @Option(names = "--json", description = "Prints JSON instead of a table.")
  private boolean json;

  @Option(names = "--seed", description = "Seed of all random numbers.", defaultValue = "7")
  private long seed;

  /** Creates the command with its default options. */
  public ControlCommand() {}

  @Override
  public Integer call() {
    return run(System.out);
  }

  private int run(PrintStream out) {
    BenchReport report =
        BenchReport.create("control", "part", "against", "size", "measure", "value");
    ControlTotals totals = new ControlTotals();
    MembershipBench.run(report, totals, seed, quick);
    OwnershipBench.run(report, totals, seed, quick);
    ConfigurationBench.run(report, totals, quick);
    WriteQueueBench.run(report, totals, seed, quick);
    WorkerPollingBench.run(report, totals);
    report.addRow("total", "target", "per node", "cpu % of a core", 100 * totals.cpuShare());
    report.addRow("total", "target", "per node", "heap MB", totals.heapBytes() / 1e6);
    report.addRow("total", "target", "per node", "bytes/s", totals.bytesPerSecond());
    report.addRow("total", "target", "all nodes", "table writes/s", totals.writesPerSecond());
    report.addRow("total", "target", "all nodes", "table reads/s", totals.readsPerSecond());
    report.measure("control_cpu_percent", 100 * totals.cpuShare());
    report.measure("control_heap_mb", totals.heapBytes() / 1e6);
    report.measure("control_bytes_per_second", totals.bytesPerSecond());
    report.measure("store_writes_per_second", totals.writesPerSecond());
    report.measure("store_reads_per_second", totals.readsPerSecond());
    return report.print(out, json);
  }
}
