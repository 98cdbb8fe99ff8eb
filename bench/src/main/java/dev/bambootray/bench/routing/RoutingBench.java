package dev.bambootray.bench.routing;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.declaration.PolicyDeclaration;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Replays the same arrivals against the router, simpler policies and the ideal single queue. */
@Command(
    name = "routing",
    description = "Replays arrivals and answers against the router and against simpler policies.",
    mixinStandardHelpOptions = true)
public final class RoutingBench implements Callable<Integer> {
  private static final String ROUTER = "bambootray";
  private static final String LEASED_SHARES = "leased slot shares";
  private static final String IDEAL = "ideal single queue";

  /** Targets of one region at the target size: 4,000 workers in 5 regions. */
  private static final int LARGE_POOL = 800;

  private static final long DRAIN_US = 30_000_000;

  @Option(names = "--quick", description = "Replay 20 s instead of 120 s for each seed.")
  private boolean quick;

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  @Option(
      names = "--seeds",
      defaultValue = "5",
      description = "Number of seeds, from 1 (default: ${DEFAULT-VALUE}).")
  private int seeds;

  @Option(
      names = "--cost",
      description = "Measure only the time and allocation of the router for each event.")
  private boolean cost;

  /** Creates the benchmark with its default options. */
  public RoutingBench() {}

  @Override
  public Integer call() {
    if (cost) {
      RouterCost.print(System.out, Topology.TARGETS, 0);
      RouterCost.print(System.out, Topology.TARGETS, 1_000);
      RouterCost.print(System.out, LARGE_POOL, 0);
      RouterCost.print(System.out, LARGE_POOL, 1_000);
      return 0;
    }
    return run(System.out);
  }

  private int run(PrintStream out) {
    BenchReport report =
        BenchReport.create(
            "routing",
            "scenario",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99/ideal",
            "worst seed",
            "without result",
            "dispatches/request",
            "cross-region MiB");
    for (Scenario scenario : Scenario.values()) {
      Map<String, Summary> summaries = new LinkedHashMap<>();
      for (int seed = 1; seed <= seeds; seed++) {
        replay(scenario, seed, summaries, report);
      }
      summaries.forEach((policy, summary) -> summary.addRow(report, scenario.title(), policy));
    }
    return report.print(out, json);
  }

  private void replay(
      Scenario scenario, long seed, Map<String, Summary> summaries, BenchReport report) {
    long durationUs = quick ? 20_000_000L : 120_000_000L;
    long endUs = durationUs + DRAIN_US;
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
    Topology topology = Topology.draw(scenario, durationUs, random);
    List<Workload.Arrival> arrivals = Workload.draw(topology, durationUs, random);
    Map<String, Tally> tallies = new LinkedHashMap<>();
    for (BaselinePolicy policy : BaselinePolicy.values()) {
      tallies.put(
          policy.title(), BaselineReplay.run(policy, topology, arrivals, endUs, fork(seed)));
    }
    tallies.put(LEASED_SHARES, LeasedSharesReplay.run(topology, arrivals, endUs));
    Tally router =
        RouterReplay.run(topology, arrivals, endUs, PolicyDeclaration.defaults(), fork(seed));
    tallies.put(ROUTER, router);
    Tally ideal = IdealReplay.run(topology, arrivals, endUs);
    tallies.put(IDEAL, ideal);
    double idealP99 = p99(ideal, arrivals);
    tallies.forEach(
        (name, tally) ->
            summaries.computeIfAbsent(name, key -> new Summary()).add(tally, arrivals, idealP99));
    double ratio = p99(router, arrivals) / idealP99;
    double randomBytes =
        Math.max(1.0, (double) tally(tallies, BaselinePolicy.RANDOM.title()).crossRegionBytes);
    double bytesRatio = router.crossRegionBytes / randomBytes;
    switch (scenario) {
      case NORMAL -> {
        report.measure("p99_vs_ideal", ratio);
        report.measure("cross_region_bytes_vs_random", bytesRatio);
      }
      case SLOW_AND_LOST -> {
        report.measure("p99_vs_ideal_with_faults", ratio);
        report.measure("cross_region_bytes_vs_random_with_faults", bytesRatio);
      }
      case HALF_FAILING ->
          report.measure(
              "dispatches_per_request_half_failing", router.dispatches / (double) arrivals.size());
    }
    report.measure("slot_excess", (double) router.slotExcess);
    report.measure("connection_excess", (double) router.connectionExcess);
    report.measure("double_runs", (double) router.doubleRuns(arrivals));
    report.measure("lost_answers", (double) router.lost());
    report.measure("duplicate_answers", (double) router.duplicates());
    report.measure("not_run_but_ran", (double) router.notRunButRan());
  }

  private static UniformRandomProvider fork(long seed) {
    return RandomSource.SPLIT_MIX_64.create(seed * 31 + 7);
  }

  private static Tally tally(Map<String, Tally> tallies, String name) {
    Tally tally = tallies.get(name);
    if (tally == null) {
      throw new IllegalStateException("no replay of " + name);
    }
    return tally;
  }

  private static double p99(Tally tally, List<Workload.Arrival> arrivals) {
    return tally.completionUs(arrivals).getValueAtPercentile(99) / 1_000.0;
  }

  /** Results of one policy over all seeds. */
  private static final class Summary {
    private final Histogram completionUs = new Histogram(60_000_000, 3);
    private final List<Double> ratios = new ArrayList<>();
    private long requests;
    private long withoutResult;
    private long dispatches;
    private long crossRegionBytes;

    void add(Tally tally, List<Workload.Arrival> arrivals, double idealP99) {
      Histogram own = tally.completionUs(arrivals);
      completionUs.add(own);
      ratios.add(own.getValueAtPercentile(99) / 1_000.0 / idealP99);
      requests += arrivals.size();
      withoutResult += tally.withoutResult();
      dispatches += tally.dispatches;
      crossRegionBytes += tally.crossRegionBytes;
    }

    void addRow(BenchReport report, String scenario, String policy) {
      report.addRow(
          scenario,
          policy,
          completionUs.getValueAtPercentile(50) / 1_000.0,
          completionUs.getValueAtPercentile(99) / 1_000.0,
          ratios.stream().mapToDouble(ratio -> ratio).average().orElse(0),
          ratios.stream().mapToDouble(ratio -> ratio).max().orElse(0),
          withoutResult + "/" + requests,
          dispatches / (double) requests,
          crossRegionBytes / 1_048_576.0);
    }
  }
}
