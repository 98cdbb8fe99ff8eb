package dev.bambootray.jobs.model;

/**
 * Holds the stored progress of a task, from which a new owner continues.
 *
 * @param state state of the task
 * @param run number of its newest run, 0 before the first run
 * @param failures number of failed runs
 * @param worker worker of its newest run, or empty
 * @param checkpoint newest checkpoint, or empty
 * @param crashes number of crashes of workers that the task may have caused
 */
public record TaskRecord(
    State state, int run, int failures, String worker, String checkpoint, int crashes) {
  /** A task that has never run. */
  public static final TaskRecord NEW = new TaskRecord(State.WAITING, 0, 0, "", "");

  /** Creates the record of a task on whose workers no crash has occurred. */
  public TaskRecord(State state, int run, int failures, String worker, String checkpoint) {
    this(state, run, failures, worker, checkpoint, 0);
  }

  /** State of a task. */
  public enum State {
    /** It has no current run. */
    WAITING,
    /** A run was placed and its end is not known. */
    PLACED,
    /** It has completed. */
    DONE
  }
}
