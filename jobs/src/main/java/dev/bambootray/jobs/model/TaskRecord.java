package dev.bambootray.jobs.model;

/**
 * What is kept of a task across owners.
 *
 * @param state whether it waits, runs or is done
 * @param run number of its newest run, 0 before the first
 * @param failures runs that ended in failure
 * @param worker worker of its newest run, or empty
 * @param checkpoint saved progress, or empty
 */
public record TaskRecord(State state, int run, int failures, String worker, String checkpoint) {
  /** A task that has never run. */
  public static final TaskRecord NEW = new TaskRecord(State.WAITING, 0, 0, "", "");

  /** Where a task stands. */
  public enum State {
    /** No run of it is known. */
    WAITING,
    /** A run was ordered and its end is not known. */
    PLACED,
    /** It is done. */
    DONE
  }
}
