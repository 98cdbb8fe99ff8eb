package dev.bambootray.bench.jobs;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the job scheduler with baselines and an offline bound on seeded loads. */
@Command(
    name = "jobs",
    description = "Replays job loads against the job scheduler and two baselines.",
    mixinStandardHelpOptions = true)
public final class JobsBench implements Callable<Integer> {
  private static final long FIRST_SEED = 1;

  @Option(names = "--quick", description = "Play the small deployments only.")
  private boolean quick;

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  @Option(
      names = "--seeds",
      defaultValue = "2",
      description = "Loads of each pattern, by default ${DEFAULT-VALUE}.")
  private int seeds;

  @Option(names = "--deployment", description = "Only deployments whose names begin so.")
  private String deploymentPrefix = "";

  @Option(names = "--standard-only", description = "Leave out the baselines.")
  private boolean standardOnly;

  /** Creates the command with its default options. */
  public JobsBench() {}

  private record Played(
      JobDeployment deployment,
      LoadPattern pattern,
      SchedulingPolicy policy,
      JobReplayResult result) {}

  @Override
  public Integer call() {
    BenchReport report =
        BenchReport.create(
            "jobs",
            "deployment",
            "load",
            "policy",
            "value",
            "net",
            "bound",
            "plans",
            "orders",
            "checks",
            "lost work",
            "slowest start s");
    List<Played> played = play();
    for (JobDeployment deployment : deployments()) {
      for (LoadPattern pattern : LoadPattern.values()) {
        addRows(report, deployment, pattern, played);
      }
    }
    return report.print(System.out, json);
  }

  private List<JobDeployment> deployments() {
    return JobDeployment.all().stream()
        .filter(deployment -> !quick || !deployment.name().endsWith("grown"))
        .filter(deployment -> deployment.name().startsWith(deploymentPrefix))
        .toList();
  }

  private List<SchedulingPolicy> policies() {
    return standardOnly ? List.of(SchedulingPolicy.STANDARD) : List.of(SchedulingPolicy.values());
  }

  private List<Played> play() {
    List<Supplier<Played>> work = new ArrayList<>();
    for (JobDeployment deployment : deployments()) {
      for (LoadPattern pattern : LoadPattern.values()) {
        for (SchedulingPolicy policy : policies()) {
          for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
            long loadSeed = seed;
            work.add(
                () ->
                    new Played(
                        deployment,
                        pattern,
                        policy,
                        JobReplay.play(deployment, pattern, policy, loadSeed)));
          }
        }
      }
    }
    return work.parallelStream().map(Supplier::get).toList();
  }

  private void addRows(
      BenchReport report, JobDeployment deployment, LoadPattern pattern, List<Played> played) {
    double standard = 0;
    double baseline = 0;
    for (SchedulingPolicy policy : policies()) {
      List<JobReplayResult> results =
          played.stream()
              .filter(one -> one.deployment().equals(deployment))
              .filter(one -> one.pattern() == pattern && one.policy() == policy)
              .map(Played::result)
              .toList();
      double value = mean(results, JobReplayResult::share);
      addRow(report, deployment, pattern, policy, results);
      if (policy == SchedulingPolicy.STANDARD) {
        standard = value;
      } else {
        baseline = Math.max(baseline, value);
      }
    }
    report.measure("better_baseline_vs_standard", baseline / Math.max(1e-9, standard));
  }

  private static void addRow(
      BenchReport report,
      JobDeployment deployment,
      LoadPattern pattern,
      SchedulingPolicy policy,
      List<JobReplayResult> results) {
    report.addRow(
        deployment.name(),
        pattern.title(),
        policy.name().toLowerCase(Locale.ROOT),
        mean(results, JobReplayResult::share),
        mean(results, JobReplayResult::net),
        mean(results, JobReplayResult::bound),
        mean(results, result -> result.share("plan")),
        mean(results, result -> result.share("order")),
        mean(results, result -> result.share("check")),
        mean(results, JobReplayResult::lostShare),
        results.stream().mapToLong(JobReplayResult::slowestGuaranteeMs).max().orElse(0) / 1_000.0);
  }

  private static double mean(
      List<JobReplayResult> results, ToDoubleFunction<JobReplayResult> value) {
    return results.stream().mapToDouble(value).average().orElse(0);
  }
}
