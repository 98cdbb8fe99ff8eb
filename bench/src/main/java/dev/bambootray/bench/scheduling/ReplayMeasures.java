package dev.bambootray.bench.scheduling;

import dev.bambootray.bench.scheduling.Replay.ReplayTask;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.core.scheduling.RegionScheduler;
import dev.bambootray.core.scheduling.SchedulerEffect;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Measures of one replay, taken from its own ledger and not from the scheduler's. */
final class ReplayMeasures {
  private static final long CLAIM_MS = 5_000;

  /** A gang may be in part while its members start or stop; longer than this it is partial. */
  private static final long PARTIAL_MS = 5_000;

  private static final long SAMPLE_MS = 1_000;

  private final Declaration declaration;
  private final RegionScheduler scheduler;
  private final long horizonMs;
  private final Set<ReplayJob> partial = new HashSet<>();
  private final List<double[]> fragmentationOverTime = new ArrayList<>();
  private final List<double[]> completionOverTime = new ArrayList<>();
  private long sampledAtMs = -SAMPLE_MS;
  private double unusableSum;
  private double freeSum;
  private double lostWorkMs;
  private double usefulWorkMs;
  private double completionSumMs;
  int completed;
  int failed;
  int unanswered;
  int overlaps;
  int guaranteeViolations;
  int doubleRuns;
  int preemptions;
  int promisedGangs;
  int brokenReports;
  double worstPromiseRatio;

  ReplayMeasures(Declaration declaration, RegionScheduler scheduler, long horizonMs) {
    this.declaration = declaration;
    this.scheduler = scheduler;
    this.horizonMs = horizonMs;
  }

  /** Notes whether an urgent job lies within the guarantee of its workspace. */
  void submitted(ReplayJob job, Collection<ReplayJob> jobs) {
    if (!job.arrival.urgent()) {
      return;
    }
    int used = job.accelerators();
    for (ReplayJob other : jobs) {
      boolean sameWorkspace = other.arrival.key().workspace().equals(job.arrival.key().workspace());
      if (other != job && sameWorkspace && !other.answered && usesGuarantee(other, job)) {
        used += Math.max(other.accelerators(), job.accelerators());
      }
    }
    job.withinGuarantee = used <= guaranteedAccelerators(job);
  }

  /**
   * Returns whether a job counts against the guarantee of its workspace. Small repeatable jobs do
   * not, because a claim of the whole shape may stop them. One that stays uses up a whole shape.
   */
  private boolean usesGuarantee(ReplayJob other, ReplayJob claim) {
    boolean holds =
        other.membersRunning > 0
            || other.arrival.urgent()
            || scheduler
                .explain(other.arrival.key(), claim.arrival.atMs())
                .state()
                .equals("reserving");
    boolean stays = !other.template.repeatable() || other.accelerators() * 2 > claim.accelerators();
    return holds && stays;
  }

  private int guaranteedAccelerators(ReplayJob job) {
    WorkspaceDeclaration workspace = declaration.workspaces().get(job.arrival.key().workspace());
    return workspace == null
        ? 0
        : workspace.guarantees().stream()
            .mapToInt(g -> g.count() * g.shape().totalAccelerators())
            .sum();
  }

  void observe(SchedulerEffect effect) {
    if (effect instanceof SchedulerEffect.GuaranteeBroken) {
      brokenReports++;
    }
  }

  /** Checks that a grant overlaps no other. */
  void granted(ReplayTask task, Collection<ReplayTask> tasks) {
    for (ReplayTask other : tasks) {
      if (other.worker.equals(task.worker) && (other.mask & task.mask) != 0) {
        overlaps++;
      }
    }
  }

  /** Counts the work that is lost if a preempted task did not write a checkpoint. */
  void stopped(ReplayTask task, boolean checkpointed, long nowMs) {
    if (task.job.isDisturbed(task.attempt()) || task.job.answered) {
      return;
    }
    preemptions += task.id.member() == 0 ? 1 : 0;
    if (!checkpointed) {
      int accelerators = task.job.template.shape().acceleratorsPerMember();
      lostWorkMs += (double) (nowMs - task.startedAtMs) * accelerators;
    }
  }

  void sample(
      Collection<ReplayJob> jobs, Collection<ReplayTask> tasks, boolean rackLost, long nowMs) {
    if (nowMs - sampledAtMs < SAMPLE_MS) {
      return;
    }
    sampledAtMs = nowMs;
    Shape largest = null;
    for (ReplayJob job : jobs) {
      if (job.answered) {
        continue;
      }
      checkGang(job, nowMs);
      checkClaim(job, rackLost, nowMs);
      checkPromise(job, nowMs);
      if (job.waiting() && (largest == null || job.accelerators() > largest.totalAccelerators())) {
        largest = job.template.shape();
      }
    }
    for (WorkspaceDeclaration workspace : declaration.workspaces().values()) {
      for (Guarantee guarantee : workspace.guarantees()) {
        if (largest == null
            || guarantee.shape().totalAccelerators() > largest.totalAccelerators()) {
          largest = guarantee.shape();
        }
      }
    }
    if (largest != null && nowMs <= horizonMs) {
      sampleFragmentation(largest, tasks, rackLost, nowMs);
    }
  }

  private void checkGang(ReplayJob job, long nowMs) {
    boolean inPart = job.membersRunning > 0 && job.membersRunning < job.template.shape().members();
    if (inPart && nowMs - job.membersChangedAtMs > PARTIAL_MS) {
      partial.add(job);
    }
  }

  private void checkClaim(ReplayJob job, boolean rackLost, long nowMs) {
    boolean late =
        job.withinGuarantee
            && job.firstStartMs < 0
            && nowMs - job.arrival.atMs() > CLAIM_MS
            && job.membersRunning == 0;
    if (late && !rackLost && scheduler.brokenGuarantees().isEmpty() && job.countOnce()) {
      guaranteeViolations++;
    }
  }

  private void checkPromise(ReplayJob job, long nowMs) {
    boolean gang = job.template.shape().members() == Shape.MAX_MEMBERS;
    if (gang && job.waiting() && job.promisedStartMs < 0) {
      Explanation explanation = scheduler.explain(job.arrival.key(), nowMs);
      if (explanation.reason().contains("reservation")) {
        job.promisedStartMs = nowMs + explanation.expectedStartInMs();
      }
    }
  }

  private void sampleFragmentation(
      Shape largest, Collection<ReplayTask> tasks, boolean rackLost, long nowMs) {
    Map<WorkerId, Long> used = new HashMap<>();
    tasks.forEach(task -> used.merge(task.worker, task.mask, (a, b) -> a | b));
    Map<String, Integer> membersByGroup = new HashMap<>();
    int free = 0;
    for (WorkerDeclaration worker : declaration.workers().values()) {
      if (rackLost && worker.rack().value().equals("r2")) {
        continue;
      }
      int all = worker.capacity().accelerators();
      long mask = ((1L << all) - 1) & ~used.getOrDefault(worker.id(), 0L);
      free += Long.bitCount(mask);
      int fit = runs(mask, all, largest.acceleratorsPerMember());
      membersByGroup.merge(group(worker, largest), fit, Integer::sum);
    }
    int usable = 0;
    for (int members : membersByGroup.values()) {
      usable += members / largest.members() * largest.totalAccelerators();
    }
    double fragmented = free == 0 ? 0 : (double) (free - Math.min(free, usable)) / free;
    unusableSum += free - Math.min(free, usable);
    freeSum += free;
    fragmentationOverTime.add(new double[] {nowMs / 60_000.0, fragmented});
  }

  private static String group(WorkerDeclaration worker, Shape shape) {
    if (shape.members() == 1) {
      return worker.id().value();
    }
    return switch (shape.adjacency()) {
      case ADJACENT_WORKERS, RACK -> worker.rack().value();
      case FAILURE_DOMAIN -> worker.failureDomain().value();
      case REGION -> Adjacency.REGION.name();
    };
  }

  private static int runs(long mask, int accelerators, int length) {
    int count = 0;
    int open = 0;
    for (int i = 0; i < accelerators; i++) {
      open = (mask >> i & 1) == 1 ? open + 1 : 0;
      if (open == length) {
        count++;
        open = 0;
      }
    }
    return count;
  }

  void finish(Collection<ReplayJob> jobs) {
    for (ReplayJob job : jobs) {
      if (!job.answered) {
        unanswered++;
      } else if (!job.completed) {
        failed++;
      } else {
        usefulWorkMs += (double) job.arrival.runMs() * job.accelerators();
        if (job.arrival.cancelAtMs() < 0) {
          completed++;
          double completionMs = job.answeredAtMs - job.arrival.atMs();
          completionSumMs += completionMs;
          completionOverTime.add(new double[] {job.answeredAtMs / 60_000.0, completionMs / 1_000});
        }
      }
      if (!job.template.repeatable() && job.runsStarted > 1) {
        doubleRuns++;
      }
      if (job.promisedStartMs >= 0 && job.firstStartMs >= 0) {
        promisedGangs++;
        double promisedMs = Math.max(1_000, job.promisedStartMs - job.arrival.atMs());
        double ratio = (job.firstStartMs - job.arrival.atMs()) / promisedMs;
        worstPromiseRatio = Math.max(worstPromiseRatio, ratio);
      }
    }
  }

  double meanCompletionMs() {
    return completionSumMs / Math.max(1, completed);
  }

  /** Returns unusable free accelerator time over all free accelerator time. */
  double fragmentation() {
    return unusableSum / Math.max(1, freeSum);
  }

  double lostWorkShare() {
    return lostWorkMs / Math.max(1, usefulWorkMs);
  }

  int partialGangs() {
    return partial.size();
  }

  List<double[]> fragmentationOverTime() {
    return fragmentationOverTime;
  }

  /** Returns completion times in seconds by the minute in which the jobs ended. */
  List<double[]> completionOverTime() {
    completionOverTime.sort(Comparator.comparingDouble(point -> point[0]));
    return completionOverTime;
  }
}
