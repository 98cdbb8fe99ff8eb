package dev.bambootray.bench.jobs;

import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.standins.jobs.SimulatedWork;
import java.util.List;

/**
 * A job of a load.
 *
 * @param atMs when it is submitted
 * @param kind its kind
 * @param workspace its workspace
 * @param steps its steps
 * @param work what its tasks do
 * @param cancelAtMs when it is cancelled, or a negative number
 */
record JobArrival(
    long atMs,
    JobKind kind,
    String workspace,
    List<StepSpec> steps,
    TaskDraws work,
    long cancelAtMs) {

  /**
   * Work and failures of the tasks of a job.
   *
   * @param workMs work by step and index
   * @param failures whether a run fails, by step, index and run
   * @param poisoned whether all runs fail
   */
  record TaskDraws(List<List<Long>> workMs, List<List<Integer>> failures, boolean poisoned)
      implements SimulatedWork {
    TaskDraws {
      workMs = List.copyOf(workMs);
      failures = List.copyOf(failures);
    }

    @Override
    public long workMs(int step, int index) {
      return workMs.get(step).get(index);
    }

    /**
     * The number of failed runs is drawn for each task, so that it does not depend on the policy.
     */
    @Override
    public boolean fails(int step, int index, int run) {
      return poisoned || run <= failures.get(step).get(index);
    }
  }

  JobArrival {
    steps = List.copyOf(steps);
  }

  /** Returns the work of the longest task of each step, added up, in milliseconds. */
  long chainMs() {
    return work.workMs().stream()
        .mapToLong(step -> step.stream().mapToLong(Long::longValue).max().orElse(0))
        .sum();
  }

  /** Returns the work of all tasks in core-seconds; an accelerator counts as 8 cores. */
  double coreSeconds() {
    double sum = 0;
    for (int step = 0; step < steps.size(); step++) {
      double cores =
          steps.get(step).each().millicores() / 1_000.0
              + 8.0 * steps.get(step).each().accelerators();
      for (long ms : work.workMs().get(step)) {
        sum += cores * ms / 1_000.0;
      }
    }
    return sum;
  }
}
