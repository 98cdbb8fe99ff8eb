package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.GuaranteeCoverage.Claim;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Logs when a waiting step comes under the guarantee of its workspace or leaves it, and which
 * covered steps are still waiting shortly before the guarantee is broken.
 */
final class GuaranteeMonitor {
  /** The strictest deployment allows 2.9 s to meet a guarantee. */
  static final long OVERDUE_MS = 2_500;

  /** Follows a step while it waits. */
  private static final class Wait {
    private final boolean covered;
    private final long sinceMs;
    private boolean overdue;

    private Wait(boolean covered, long sinceMs) {
      this.covered = covered;
      this.sinceMs = sinceMs;
    }
  }

  private final SchedulerState state;
  private final Map<StepInstance, Wait> waits = new LinkedHashMap<>();

  GuaranteeMonitor(SchedulerState state) {
    this.state = state;
  }

  /**
   * Records a round of placement.
   *
   * @param considered the steps that the round tried to place, some of which it has placed
   * @param coverage the coverage by which it placed them
   * @param now time of the round
   */
  void onRound(List<StepInstance> considered, GuaranteeCoverage coverage, EventTime now) {
    Set<StepInstance> waiting = new HashSet<>();
    for (StepInstance step : considered) {
      Claim claim = coverage.claim(step.job);
      if (claim != null && step.hasReadyTasks()) {
        waiting.add(step);
        record(step, claim, now);
      }
    }
    waits.keySet().retainAll(waiting);
  }

  /** Returns how many covered steps have been waiting for longer than {@link #OVERDUE_MS}. */
  long overdue() {
    return waits.values().stream().filter(wait -> wait.overdue).count();
  }

  private void record(StepInstance step, Claim claim, EventTime now) {
    Wait wait = waits.get(step);
    if (wait == null || wait.covered != claim.isCovered()) {
      wait = new Wait(claim.isCovered(), now.ms());
      waits.put(step, wait);
      log(step, "guarantee", claim, now);
    }
    if (wait.covered && !wait.overdue && now.ms() - wait.sinceMs > OVERDUE_MS) {
      wait.overdue = true;
      log(step, "guarantee overdue", claim, now);
    }
  }

  private void log(StepInstance step, String event, Claim claim, EventTime now) {
    state.logDecision(
        step.job.spec.id(),
        event
            + " step="
            + step.label()
            + " covered="
            + claim.isCovered()
            + " need="
            + claim.need()
            + " used_before="
            + claim.usedBefore()
            + " guaranteed="
            + claim.guaranteed()
            + " workspace="
            + step.job.spec.workspace()
            + " ready="
            + step.readyTasks().size()
            + " reservation="
            + state.reservations.describe(step)
            + " reclaims="
            + step.reclaims
            + " next_reclaim_ms="
            + Math.max(0, step.nextReclaimMs - now.ms())
            + " waited_ms="
            + (now.ms() - step.readySinceMs)
            + " age_ms="
            + (now.ms() - step.job.acceptedMs));
  }
}
