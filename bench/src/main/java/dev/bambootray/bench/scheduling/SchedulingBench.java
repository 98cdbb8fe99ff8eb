package dev.bambootray.bench.scheduling;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.scheduling.SchedulingPolicies;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the scheduling policies on seeded traces and measures the cost of decisions. */
@Command(
    name = "scheduling",
    description = "Replays job traces against the region scheduler and measures its decisions.",
    mixinStandardHelpOptions = true)
public final class SchedulingBench implements Callable<Integer> {
  private static final long FIRST_SEED = 41;
  private static final int SEEDS = 5;
  private static final long QUICK_HORIZON_MS = 1_800_000;
  private static final long FULL_HORIZON_MS = 7_200_000;
  private static final String OURS = "bambootray";
  private static final String FIFO = "fifo first fit";
  private static final String BACKFILL = "backfill best fit";
  private static final String SHARED = "shared pool";

  @Option(names = "--quick", description = "Use short traces; takes less than 45 s.")
  private boolean quick;

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  @Option(names = "--plot", paramLabel = "FILE", description = "Write a plot as a PNG file.")
  private @Nullable Path plot;

  /** Creates the command with its default options. */
  public SchedulingBench() {}

  @Override
  public Integer call() {
    BenchReport report =
        BenchReport.create(
            "scheduling",
            "deployment",
            "seed",
            "policy",
            "completed",
            "failed",
            "open",
            "mean s",
            "fragmentation",
            "lost work",
            "preemptions",
            "violations",
            "partial",
            "overlaps",
            "double runs",
            "gang64 ratio",
            "gangs");
    List<ReplayRun> runs = replay();
    runs.forEach(run -> addRow(report, run));
    compare(report, runs);
    DecisionCost.measure(report, quick);

    if (plot != null) {
      ReplayPlot.write(runs, FIRST_SEED, plot);
    }
    return report.print(System.out, json);
  }

  private List<ReplayRun> replay() {
    long horizonMs = quick ? QUICK_HORIZON_MS : FULL_HORIZON_MS;
    Map<String, Supplier<SchedulingPolicies>> policies = new LinkedHashMap<>();
    policies.put(FIFO, SchedulingPolicies::fifoFirstFit);
    policies.put(BACKFILL, SchedulingPolicies::backfillBestFit);
    policies.put(SHARED, SchedulingPolicies::sharedPool);

    policies.put(OURS, SchedulingPolicies::declared);
    List<Supplier<ReplayRun>> work = new ArrayList<>();
    for (boolean first : new boolean[] {true, false}) {
      Declaration declaration = (first ? Deployment.first() : Deployment.second()).declaration();
      for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
        long traceSeed = seed;
        Trace trace =
            first
                ? Trace.first(declaration, seed, horizonMs)
                : Trace.second(declaration, seed, horizonMs);
        policies.forEach(
            (name, policy) ->
                work.add(
                    () ->
                        new ReplayRun(
                            first ? "first" : "second",
                            traceSeed,
                            name,
                            new Replay(declaration, trace, policy.get(), traceSeed).run())));
      }
    }
    return work.parallelStream().map(Supplier::get).toList();
  }

  private static void addRow(BenchReport report, ReplayRun run) {
    ReplayMeasures m = run.measures();
    report.addRow(
        run.deployment(),
        run.seed(),
        run.policy(),
        m.completed,
        m.failed,
        m.unanswered,
        m.meanCompletionMs() / 1_000,
        m.fragmentation(),
        m.lostWorkShare(),
        m.preemptions,
        m.guaranteeViolations,
        m.partialGangs(),
        m.overlaps,
        m.doubleRuns,
        m.worstPromiseRatio,
        m.promisedGangs);
  }

  private static void compare(BenchReport report, List<ReplayRun> runs) {
    for (long seed : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).toArray()) {
      ReplayMeasures first = find(runs, "first", seed, OURS);
      ReplayMeasures second = find(runs, "second", seed, OURS);
      ReplayMeasures firstFifo = find(runs, "first", seed, FIFO);
      ReplayMeasures firstBackfill = find(runs, "first", seed, BACKFILL);
      ReplayMeasures secondFifo = find(runs, "second", seed, FIFO);
      ReplayMeasures secondBackfill = find(runs, "second", seed, BACKFILL);
      report.measure("completion_vs_fifo", first.meanCompletionMs() / firstFifo.meanCompletionMs());
      report.measure(
          "completion_vs_backfill", first.meanCompletionMs() / firstBackfill.meanCompletionMs());
      report.measure(
          "fragmentation_vs_first_fit", second.fragmentation() / secondFifo.fragmentation());
      report.measure(
          "completion_vs_backfill_second",
          second.meanCompletionMs() / secondBackfill.meanCompletionMs());
      for (ReplayMeasures ours : List.of(first, second)) {
        report.measure("gang64_wait_vs_promise", ours.worstPromiseRatio);
        report.measure("guarantee_violations", ours.guaranteeViolations);
        report.measure("partial_gangs", ours.partialGangs());
        report.measure("work_lost_share", ours.lostWorkShare());
      }
    }
  }

  private static ReplayMeasures find(
      List<ReplayRun> runs, String deployment, long seed, String policy) {
    return runs.stream()
        .filter(
            run ->
                run.deployment().equals(deployment)
                    && run.seed() == seed
                    && run.policy().equals(policy))
        .findFirst()
        .orElseThrow()
        .measures();
  }
}
