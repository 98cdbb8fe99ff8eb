package dev.bambootray.jobs.scheduling;

/**
 * Orders steps by the value of their job per core-second of remaining work.
 *
 * <p>This order suits bursts that exceed the capacity of the pool: short and nearly finished jobs
 * go first, a job that can only complete late goes after one that can be on time, and a job without
 * remaining value goes last but is never dropped.
 */
final class ValueDensityOrder implements StepOrderPolicy {
  // Value of a job of average size by priority: previews count more than orders, and these more
  // than plans.
  private static final double[] PRIORITY_VALUES = {4.0, 3.0, 1.0};

  /** Share of the full value that a late completion has. */
  static final double LATE_SHARE = 0.27;

  /** Multiple of the allowed time after which a completion has almost no value. */
  static final double LATE_FACTOR = 3.0;

  /** Share of the full value after {@link #LATE_FACTOR}, which puts such jobs last. */
  private static final double EXPIRED_SHARE = 0.01;

  /** Share of a job's value that does not depend on its size. */
  private static final double FIXED_SHARE = 0.3;

  private static final double MAX_RELATIVE_VALUE = 4.0;
  private static final double MIN_CORE_SECONDS = 1.0;

  private final TemplateStatistics statistics;

  ValueDensityOrder(TemplateStatistics statistics) {
    this.statistics = statistics;
  }

  @Override
  public double urgency(StepInstance step, long nowMs) {
    Job job = step.job;
    return valueAt(
            job, step.occurrence, nowMs + statistics.remainingCriticalPathMs(job, step.occurrence))
        / Math.max(MIN_CORE_SECONDS, statistics.remainingCoreSeconds(job));
  }

  /** Returns the value of a job that completes at a given time. */
  double valueAt(Job job, int occurrence, long completionMs) {
    long tookMs = completionMs - job.acceptedMs;
    double allowedMs = allowedMs(job, occurrence);
    double share = EXPIRED_SHARE;
    if (tookMs <= allowedMs || job.spec.isTimed()) {
      share = 1;
    } else if (tookMs <= LATE_FACTOR * allowedMs) {
      share = LATE_SHARE;
    }
    return share * fullValue(job);
  }

  /** Returns the time allowed for a job from its acceptance to its completion. */
  double allowedMs(Job job, int occurrence) {
    return job.spec.objective().stretch() * statistics.totalCriticalPathMs(job, occurrence)
        + job.spec.objective().targetLatencyMs();
  }

  /** Returns the value of a job that completes within the allowed time. */
  double fullValue(Job job) {
    int priority =
        Math.min(Math.max(0, job.spec.objective().priority()), PRIORITY_VALUES.length - 1);
    double relative = FIXED_SHARE + (1 - FIXED_SHARE) * statistics.relativeSize(job);
    return PRIORITY_VALUES[priority] * Math.min(MAX_RELATIVE_VALUE, relative);
  }
}
