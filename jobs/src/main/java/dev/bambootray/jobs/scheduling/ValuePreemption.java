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
  private static final double MIN_URGENCY_RATIO = 1.2;

  /**
   * Minimum gain as a multiple of the lost value: lost work is repeated, and the waiting job might
   * have been on time without the stop.
   */
  private static final double MIN_GAIN_RATIO = 2.0;

  /** A step with more slack than this waits for free resources instead of stopping runs. */
  private static final long MAX_SLACK_MS = 2_500;

  /** Time to stop runs and to start a new one in their place. */
  private static final long RESTART_MS = 500;

  private final Map<StepInstance, Double> urgencies = new HashMap<>();
  private final TemplateStatistics statistics;
  private final ValueDensityOrder order;

  ValuePreemption(TemplateStatistics statistics, ValueDensityOrder order) {
    this.statistics = statistics;
    this.order = order;
  }

  /** Returns whether a step would soon lose value that an immediate start can still save. */
  boolean canSaveValue(StepInstance step, long nowMs) {
    return savableValue(step, nowMs) > 0;
  }

  /** Returns whether the saved value sufficiently exceeds the value that the stopped jobs lose. */
  boolean outweighsLoss(StepInstance step, ReclaimPlan plan, long nowMs) {
    return savableValue(step, nowMs) > MIN_GAIN_RATIO * plan.lostValue(order, statistics, nowMs);
  }

  /** Returns the value that stopping runs saves because the step would otherwise lose it soon. */
  private double savableValue(StepInstance step, long nowMs) {
    Job job = step.job;
    double allowedMs = order.allowedMs(job, step.occurrence);
    double endMs =
        nowMs - job.acceptedMs + statistics.remainingCriticalPathMs(job, step.occurrence);
    if (canBeSaved(allowedMs - endMs)) {
      return (1 - ValueDensityOrder.LATE_SHARE) * order.fullValue(job);
    }
    return canBeSaved(ValueDensityOrder.LATE_FACTOR * allowedMs - endMs)
        ? ValueDensityOrder.LATE_SHARE * order.fullValue(job)
        : 0;
  }

  /** Returns whether the slack is small but sufficient to stop runs and to start. */
  private static boolean canBeSaved(double slackMs) {
    return slackMs >= RESTART_MS && slackMs < MAX_SLACK_MS;
  }

  /**
   * Begins a round of placement and clears the cached urgencies, which are computed once a round.
   */
  void beginRound() {
    urgencies.clear();
  }

  private double urgency(StepInstance step, long nowMs) {
    return urgencies.computeIfAbsent(step, key -> order.urgency(key, nowMs));
  }

  /** Returns whether a step is sufficiently more urgent than a run to stop it. */
  boolean mayStop(StepInstance step, Placement victim, long nowMs) {
    return urgency(step, nowMs) > MIN_URGENCY_RATIO * urgency(victim.task.step, nowMs);
  }
}
