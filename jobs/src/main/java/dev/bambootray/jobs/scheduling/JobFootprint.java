package dev.bambootray.jobs.scheduling;

/** Estimates how much of the owner's heap a job takes. */
final class JobFootprint {
  /** A job with its specification, without payload and steps. */
  private static final long JOB_BYTES = 1_000;

  /** A step of the specification, and its state while it is open. */
  private static final long STEP_BYTES = 200;

  /** A task with its name, its crash history and the list of its runs. */
  private static final long TASK_BYTES = 180;

  /** A reference to a record, most of which are shared. */
  private static final long RECORD_BYTES = 4;

  private JobFootprint() {}

  /** Returns the estimate in bytes. */
  static long bytes(Job job) {
    long bytes = JOB_BYTES + job.spec.payload().length() + STEP_BYTES * job.spec.steps().size();
    for (StepInstance step : job.openSteps()) {
      bytes += STEP_BYTES + TASK_BYTES * step.tasks.size();
    }
    return bytes + RECORD_BYTES * job.recordedTasks();
  }
}
