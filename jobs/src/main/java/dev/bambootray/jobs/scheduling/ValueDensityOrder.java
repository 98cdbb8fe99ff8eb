package dev.bambootray.jobs.scheduling;

/**
 * Orders by the value that a job still has for the work that it still needs.
 *
 * <p>It answers bursts that exceed the pool: short and nearly finished jobs go first, a job that
 * can only be late gives way to one that can be on time, and one that is past all value goes last
 * but is never dropped.
 */
final class ValueDensityOrder implements OrderPolicy {
  // Value of a job of mean size by priority; the letters put previews above orders above plans.
  private static final double[] PRIORITY_VALUES = {4.0, 3.0, 1.0};

  /** Share of the value that a late completion keeps. */
  static final double LATE_SHARE = 0.27;

  /** Completions later than this multiple of the allowed time have no value. */
  static final double LATE_FACTOR = 3.0;

  private static final double HOPELESS_SHARE = 0.01;

  /** Share of a job's value that does not depend on its size. */
  private static final double FIXED_SHARE = 0.3;

  private static final double MOST_RELATIVE_VALUE = 4.0;
  private static final double LEAST_WORK = 1.0;

  private final RunTimes runTimes;

  ValueDensityOrder(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  @Override
  public double urgency(StepRun step, long nowMs) {
    Job job = step.job;
    return valueAt(job, step.occurrence, nowMs + runTimes.remainingChainMs(job, step.occurrence))
        / Math.max(LEAST_WORK, runTimes.remainingWork(job));
  }

  /** Returns the value of a job that completes at a time. */
  double valueAt(Job job, int occurrence, long completionMs) {
    long tookMs = completionMs - job.acceptedMs;
    double allowedMs = allowedMs(job, occurrence);
    double share = HOPELESS_SHARE;
    if (tookMs <= allowedMs || job.spec.isTimed()) {
      share = 1;
    } else if (tookMs <= LATE_FACTOR * allowedMs) {
      share = LATE_SHARE;
    }
    return share * fullValue(job);
  }

  /** Returns the time within which a job is to complete. */
  double allowedMs(Job job, int occurrence) {
    return job.spec.objective().stretch() * runTimes.wholeChainMs(job, occurrence)
        + job.spec.objective().targetLatencyMs();
  }

  /** Returns the value of a job that completes in time. */
  double fullValue(Job job) {
    int priority =
        Math.min(Math.max(0, job.spec.objective().priority()), PRIORITY_VALUES.length - 1);
    double relative = FIXED_SHARE + (1 - FIXED_SHARE) * runTimes.relativeWork(job);
    return PRIORITY_VALUES[priority] * Math.min(MOST_RELATIVE_VALUE, relative);
  }
}
