package dev.bambootray.bench.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the arrivals of a load; the same seed gives the same jobs, whatever is done with them. */
final class JobLoad {
  /** Time during which jobs arrive, as on the users' days. */
  static final long ARRIVALS_MS = 34_000;

  private static final long BURST_FROM_MS = 12_000;
  private static final long BURST_MS = 4_000;
  private static final long LONG_BURST_FROM_MS = 11_000;
  private static final long LONG_BURST_MS = 6_000;
  private static final double LONG_BURST_FACTOR = 2.2;
  private static final long POISON_MS = 6_000;
  private static final double BURST_FACTOR = 4;
  private static final double OVERLOAD_FACTOR = 1.5;
  private static final double POISON_SHARE = 0.25;
  private static final double CANCEL_SHARE = 0.5;
  private static final long EARLY_CANCEL_MS = 2_000;
  private static final double WORST_ESTIMATE = Math.log(10);
  private static final double UNEVEN = 0.2;

  /** Share of the arrivals of the largest of the workspaces, as a power of their rank. */
  private static final double WORKSPACE_SKEW = 0.3;

  private final SplittableRandom random;
  private final JobDeployment deployment;
  private final LoadPattern pattern;

  private JobLoad(JobDeployment deployment, LoadPattern pattern, long seed) {
    this.deployment = deployment;
    this.pattern = pattern;
    random = new SplittableRandom(seed);
  }

  /** Draws the arrivals in the order of their times. */
  static List<JobArrival> draw(JobDeployment deployment, LoadPattern pattern, long seed) {
    JobLoad load = new JobLoad(deployment, pattern, seed);
    List<JobArrival> arrivals = new ArrayList<>();
    for (JobKind kind : deployment.kinds()) {
      load.addArrivals(kind, arrivals);
    }
    arrivals.sort(Comparator.comparingLong(JobArrival::atMs));
    return arrivals;
  }

  private void addArrivals(JobKind kind, List<JobArrival> arrivals) {
    double atMs = 0;
    while (true) {
      double perMs = kind.perS() * factor(kind, (long) atMs) / 1_000;
      atMs += -Math.log(1 - random.nextDouble()) / perMs;
      if (atMs >= ARRIVALS_MS) {
        return;
      }
      arrivals.add(arrival(kind, (long) atMs));
    }
  }

  private double factor(JobKind kind, long atMs) {
    boolean inBurst = atMs >= BURST_FROM_MS && atMs < BURST_FROM_MS + BURST_MS;
    return switch (pattern) {
      case OVERLOAD -> OVERLOAD_FACTOR;
      case BURST_OF_CHECKS -> inBurst && kind.name().equals("check") ? BURST_FACTOR : 1;
      case BURST_OF_PLANS -> inBurst && kind.name().equals("plan") ? BURST_FACTOR : 1;
      case BURST_OF_ORDERS -> inBurst && kind.name().equals("order") ? BURST_FACTOR : 1;
      case BURSTS_TOGETHER ->
          switch (kind.name()) {
            case "check" -> inBurst ? BURST_FACTOR : 1;
            case "order" ->
                atMs >= LONG_BURST_FROM_MS && atMs < LONG_BURST_FROM_MS + LONG_BURST_MS
                    ? LONG_BURST_FACTOR
                    : 1;
            default -> 1;
          };
      case USUAL, POISON, CANCELLING, SLOW_WORKERS, UNEVEN_WORKERS, FAILING_WORKERS, LOST_RACK -> 1;
    };
  }

  private JobArrival arrival(JobKind kind, long atMs) {
    int count = random.nextDouble() < kind.shape().secondStepShare() ? 2 : 1;
    List<StepSpec> steps = new ArrayList<>();
    List<List<Long>> work = new ArrayList<>();
    List<List<Integer>> failures = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int width =
          (int) Math.max(1, Math.round(logNormal(kind.size().width(), 0.8, kind.size().widest())));
      double meanMs =
          logNormal(kind.size().workMs(), kind.size().workSpread(), kind.size().longestMs());
      steps.add(step(kind, index, width, meanMs));
      work.add(work(kind, width, meanMs));
      failures.add(failures(kind, width));
    }
    boolean poisonTime = atMs >= BURST_FROM_MS && atMs < BURST_FROM_MS + POISON_MS;
    double poisonShare =
        pattern == LoadPattern.POISON && poisonTime ? POISON_SHARE : kind.trouble().poisonShare();
    boolean poisoned = random.nextDouble() < poisonShare;
    String workspace = "workspace" + workspace();
    return new JobArrival(
        atMs,
        kind,
        workspace,
        steps,
        new JobArrival.TaskDraws(work, failures, poisoned),
        cancelAtMs(kind, atMs));
  }

  private int workspace() {
    double draw = Math.pow(random.nextDouble(), 1 + WORKSPACE_SKEW);
    return (int) (draw * deployment.workspaces());
  }

  private long cancelAtMs(JobKind kind, long atMs) {
    double draw = random.nextDouble();
    if (pattern == LoadPattern.CANCELLING && draw < CANCEL_SHARE) {
      return atMs + EARLY_CANCEL_MS;
    }
    return draw < kind.trouble().cancelShare() ? atMs + (long) kind.size().workMs() : -1;
  }

  private StepSpec step(JobKind kind, int index, int width, double meanMs) {
    List<Integer> choices = kind.size().accelerators();
    Resources each =
        new Resources(
            choices.get(random.nextInt(choices.size())),
            kind.size().each().millicores(),
            kind.size().each().memoryMib());
    boolean wrong = random.nextDouble() < kind.trouble().wrongEstimateShare();
    double error = wrong ? Math.exp((2 * random.nextDouble() - 1) * WORST_ESTIMATE) : 1;
    boolean gang = kind.shape().gang() && width > 1;
    return StepSpec.builder(width, each)
        .after(index == 0 ? List.of() : List.of(index - 1))
        .estimateMs(Math.max(100, (long) (meanMs * error)))
        .gang(gang)
        .sameRack(random.nextDouble() < kind.shape().sameRackShare() && gang)
        .checkpointing(random.nextDouble() < kind.shape().checkpointShare())
        .build();
  }

  private List<Long> work(JobKind kind, int width, double meanMs) {
    List<Long> work = new ArrayList<>();
    for (int i = 0; i < width; i++) {
      double factor = kind.shape().gang() ? 1 : 1 + UNEVEN * (2 * random.nextDouble() - 1);
      work.add(Math.max(100, (long) (meanMs * factor)));
    }
    return work;
  }

  /** Draws how often each task fails; the members of a gang fail together. */
  private List<Integer> failures(JobKind kind, int width) {
    List<Integer> failures = new ArrayList<>();
    int ofGang = random.nextDouble() < kind.trouble().failureShare() ? 1 : 0;
    for (int i = 0; i < width; i++) {
      int own = random.nextDouble() < kind.trouble().failureShare() ? 1 : 0;
      failures.add(kind.shape().gang() ? ofGang : own);
    }
    return failures;
  }

  private double logNormal(double mean, double sigma, double most) {
    double value = mean * Math.exp(sigma * gaussian() - sigma * sigma / 2);
    return Math.min(most, value);
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
