package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.Step;
import org.jspecify.annotations.Nullable;

/** Why an attempt ends without a result. */
enum EndCause {
  /** A worker or the store refused a step. */
  REFUSED,
  /** A member, its lease or its worker was lost. */
  LOST,
  /** A member failed by itself. */
  FAILED,
  /** A claim takes the resources back; the job is not to blame. */
  PREEMPTED,
  /** The job used more than it was granted. */
  OVERUSE,
  /** The caller cancelled the job. */
  CANCELLED;

  /**
   * Returns the final error of a job whose attempt may have run, or null if it may run again.
   * Counts the failure against the budget of the job.
   */
  @Nullable RequestError errorAfterStart(Job job, String message) {
    if (!job.repeatable()) {
      return this == FAILED || this == OVERUSE
          ? RequestError.failed(Step.RUN, "local", message)
          : RequestError.unknown(Step.RUN, "local", message);
    }
    if (this == PREEMPTED || this == REFUSED || job.excused) {
      job.excused = false;
      return null;
    }
    job.failures++;
    int budget = job.request.template().maxAttempts();
    return job.failures >= budget
        ? RequestError.failed(
            Step.RUN, "local", "given up after " + job.failures + " failed runs: " + message)
        : null;
  }
}
