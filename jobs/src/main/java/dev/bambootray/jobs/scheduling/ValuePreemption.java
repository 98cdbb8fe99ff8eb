package dev.bambootray.jobs.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a waiting step may stop runs of others without holding a guarantee.
 *
 * <p>It answers a pool that is full of long work when short urgent jobs arrive: these would be late
 * before the first place comes free, while the long jobs have time for a second start.
 */
final class ValuePreemption {
  /** Value for remaining work must be this many times that of the run to be stopped. */
  private static final double LEAST_ADVANTAGE = 1.2;

  /** Lost work is done twice, and the job that waits might still have been on time. */
  private static final double LEAST_RETURN = 2.0;

  /** A step that can wait longer than this without being late waits for a free place. */
  private static final long PATIENCE_MS = 2_500;

  /** Time until stopped runs have made room and a new one has begun. */
  private static final long STOP_AND_START_MS = 500;

  private final Map<StepRun, Double> urgencies = new HashMap<>();
  private final RunTimes runTimes;
  private final ValueDensityOrder order;

  ValuePreemption(RunTimes runTimes, ValueDensityOrder order) {
    this.runTimes = runTimes;
    this.order = order;
  }

  /** Returns whether a step loses value soon unless it starts, and can still be saved. */
  boolean isWorthwhile(StepRun step, long nowMs) {
    return gain(step, nowMs) > 0;
  }

  /** Returns whether what is gained is worth what the stopped jobs lose. */
  boolean pays(StepRun step, ReclaimPlan plan, long nowMs) {
    return gain(step, nowMs) > LEAST_RETURN * plan.lostValue(order, runTimes, nowMs);
  }

  /** Returns the value that a step loses unless it starts soon, and keeps if runs are stopped. */
  private double gain(StepRun step, long nowMs) {
    Job job = step.job;
    double allowedMs = order.allowedMs(job, step.occurrence);
    double endMs = nowMs - job.acceptedMs + runTimes.remainingChainMs(job, step.occurrence);
    if (isSaved(allowedMs - endMs)) {
      return (1 - ValueDensityOrder.LATE_SHARE) * order.fullValue(job);
    }
    return isSaved(ValueDensityOrder.LATE_FACTOR * allowedMs - endMs)
        ? ValueDensityOrder.LATE_SHARE * order.fullValue(job)
        : 0;
  }

  /** Returns whether time is short, but long enough to stop runs and to start. */
  private static boolean isSaved(double slackMs) {
    return slackMs >= STOP_AND_START_MS && slackMs < PATIENCE_MS;
  }

  /** Begins a round of placement: urgencies are worked out once for each step and round. */
  void beginRound() {
    urgencies.clear();
  }

  private double urgency(StepRun step, long nowMs) {
    return urgencies.computeIfAbsent(step, key -> order.urgency(key, nowMs));
  }

  /** Returns whether a step may stop a run. */
  boolean mayStop(StepRun step, Placement victim, long nowMs) {
    return urgency(step, nowMs) > LEAST_ADVANTAGE * urgency(victim.task.step, nowMs);
  }
}
