package dev.bambootray.jobs.model;

/** State of a job as reported to its caller. */
public enum JobPhase {
  /** No task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has used up its attempts. */
  FAILED,
  /** The caller cancelled the job. */
  CANCELLED;

  /** Returns whether the phase is final. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
