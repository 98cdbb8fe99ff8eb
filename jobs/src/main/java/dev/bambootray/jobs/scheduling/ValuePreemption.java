package dev.bambootray.jobs.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a waiting step without a guarantee may stop runs of other jobs.
 *
 * <p>This matters when short urgent jobs arrive while long jobs fill the pool: the urgent jobs
 * would be late before resources become free, while the long jobs have time to start again.
 */
final class ValuePreemption {
  /** Minimum urgency of the waiting step as a multiple of the urgency of the run to be stopped. */
  private static final double LEAST_ADVANTAGE = 1.2;

  /**
   * Minimum gain as a multiple of the lost value: lost work is repeated, and the waiting job might
   * have been on time without the stop.
   */
  private static final double LEAST_RETURN = 2.0;

  /** A step with more slack than this waits for free resources instead of stopping runs. */
  private static final long PATIENCE_MS = 2_500;

  /** Time to stop runs and to start a new one in their place. */
  private static final long STOP_AND_START_MS = 500;

  private final Map<StepRun, Double> urgencies = new HashMap<>();
  private final RunTimes runTimes;
  private final ValueDensityOrder order;

  ValuePreemption(RunTimes statistics, ValueDensityOrder order) {
    this.runTimes = statistics;
    this.order = order;
  }

  /** Returns whether a step would soon lose value that an immediate start can still save. */
  boolean isWorthwhile(StepRun step, long nowMs) {
    return gain(step, nowMs) > 0;
  }

  /** Returns whether the saved value sufficiently exceeds the value that the stopped jobs lose. */
  boolean pays(StepRun step, ReclaimPlan plan, long nowMs) {
    return gain(step, nowMs) > LEAST_RETURN * plan.lostValue(order, runTimes, nowMs);
  }

  /** Returns the value that stopping runs saves because the step would otherwise lose it soon. */
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

  /** Returns whether the slack is small but sufficient to stop runs and to start. */
  private static boolean isSaved(double slackMs) {
    return slackMs >= STOP_AND_START_MS && slackMs < PATIENCE_MS;
  }

  /**
   * Begins a round of placement and clears the cached urgencies, which are computed once a round.
   */
  void beginRound() {
    urgencies.clear();
  }

  private double urgency(StepRun step, long nowMs) {
    return urgencies.computeIfAbsent(step, key -> order.urgency(key, nowMs));
  }

  /** Returns whether a step is sufficiently more urgent than a run to stop it. */
  boolean mayStop(StepRun step, Placement victim, long nowMs) {
    return urgency(step, nowMs) > LEAST_ADVANTAGE * urgency(victim.task.step, nowMs);
  }
}
