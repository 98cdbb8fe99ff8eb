package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import org.jspecify.annotations.Nullable;

/** The reason why an attempt ends without a result. */
enum EndCause {
  /** A worker refused a member, or the intent to start could not be recorded. */
  REFUSED,
  /** A member, its lease or its worker was lost. */
  LOST,
  /** A member ended with an error. */
  FAILED,
  /** A claim reclaims the resources; this does not count as a failure of the job. */
  PREEMPTED,
  /** The job used more than it was granted. */
  OVERUSE,
  /** The caller cancelled the job. */
  CANCELLED;

  /**
   * Counts the failure against the attempts of the job. Returns the final error of a job whose
   * attempt may have run, or null if the job may run again.
   */
  @Nullable RequestError errorAfterStart(Job job, String message) {
    if (!job.repeatable()) {
      return this == FAILED || this == OVERUSE
          ? RequestError.failed(RequestStep.RUN, "local", message)
          : RequestError.unknown(RequestStep.RUN, "local", message);
    }
    if (this == PREEMPTED || this == REFUSED || job.nextFailureExcused) {
      job.nextFailureExcused = false;
      return null;
    }
    job.failures++;
    int budget = job.request.template().maxAttempts();
    return job.failures >= budget
        ? RequestError.failed(
            RequestStep.RUN, "local", "given up after " + job.failures + " failed runs: " + message)
        : null;
  }
}
