package dev.bambootray.jobs.model;

/** State of a job as its caller sees it. */
public enum JobPhase {
  /** No task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has used up its attempts. */
  FAILED,
  /** The caller cancelled it. */
  CANCELLED;

  /** Returns whether the phase is final. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
