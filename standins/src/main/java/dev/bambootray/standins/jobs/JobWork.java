package dev.bambootray.standins.jobs;

/** What the tasks of a job do when they run; schedulers do not see it. */
public interface JobWork {

  /** Returns the work of a task on a sound worker near its data, in milliseconds. */
  long workMs(int step, int index);

  /** Returns whether a run of a task fails by its own fault once its work is done. */
  boolean fails(int step, int index, int run);

  /** Returns work that takes the same time for each task and never fails. */
  static JobWork of(long workMs) {
    return new Constant(workMs, false);
  }

  /** Returns work that always fails. */
  static JobWork poison(long workMs) {
    return new Constant(workMs, true);
  }

  /**
   * The same for every task.
   *
   * @param eachMs work of a task
   * @param failing whether every run fails
   */
  record Constant(long eachMs, boolean failing) implements JobWork {
    @Override
    public long workMs(int step, int index) {
      return eachMs;
    }

    @Override
    public boolean fails(int step, int index, int run) {
      return failing;
    }
  }
}
