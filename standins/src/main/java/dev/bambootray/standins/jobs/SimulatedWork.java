package dev.bambootray.standins.jobs;

/** Simulates the work of a job's tasks, which is hidden from the scheduler. */
public interface SimulatedWork {

  /** Returns the run time of a task on a healthy worker near its data, in milliseconds. */
  long workMs(int step, int index);

  /** Returns whether a run fails at the end of its work for a reason other than the worker. */
  boolean fails(int step, int index, int run);

  /** Returns whether a task crashes each worker that starts it. */
  default boolean crashesWorker(int step, int index) {
    return false;
  }

  /** Returns work of the same duration for each task that never fails. */
  static SimulatedWork of(long workMs) {
    return new Constant(workMs, false);
  }

  /** Returns work that always fails. */
  static SimulatedWork poison(long workMs) {
    return new Constant(workMs, true);
  }

  /** Returns work of which the first task crashes each worker that starts it. */
  static SimulatedWork deadly(long workMs) {
    return new Deadly(workMs);
  }

  /**
   * Work of which the first task crashes each worker that starts it.
   *
   * @param eachMs run time of the other tasks
   */
  record Deadly(long eachMs) implements SimulatedWork {
    @Override
    public long workMs(int step, int index) {
      return eachMs;
    }

    @Override
    public boolean fails(int step, int index, int run) {
      return false;
    }

    @Override
    public boolean crashesWorker(int step, int index) {
      return index == 0;
    }
  }

  /**
   * Work that is the same for every task.
   *
   * @param eachMs run time of a task
   * @param failing whether every run fails
   */
  record Constant(long eachMs, boolean failing) implements SimulatedWork {
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
