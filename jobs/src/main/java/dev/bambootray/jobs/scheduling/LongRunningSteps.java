package dev.bambootray.jobs.scheduling;

import java.util.Comparator;
import java.util.List;

/**
 * Decides which long-running steps are placed in the stead of other work.
 *
 * <p>This answers a burst that fills the pool just before a long-running task ends: its job was
 * accepted long ago, so its value alone would put it behind all that came later.
 */
final class LongRunningSteps {
  /**
   * Time for which a task that has run waits for free resources. The platform allows 9 s without a
   * run, which includes the stop of other runs and the start.
   */
  private static final long MAX_WAIT_MS = 2_000;

  /** Orders the tasks that have run before the others. */
  private static final Comparator<Task> HAS_RUN_FIRST =
      Comparator.comparing((Task task) -> task.run == 0);

  private LongRunningSteps() {}

  /** Returns whether a task of a long-running step has run and has waited for too long since. */
  static boolean isOverdue(StepInstance step, long nowMs) {
    return step.spec.longRunning()
        && step.readySinceMs >= 0
        && nowMs - step.readySinceMs > MAX_WAIT_MS
        && step.tasks.stream().anyMatch(LongRunningSteps::mustRunAgain);
  }

  /** Moves the tasks that have run to the front. */
  static void putFirst(List<Task> tasks) {
    tasks.sort(HAS_RUN_FIRST);
  }

  /** Returns how many of the tasks have run. */
  static int count(List<Task> tasks) {
    return (int) tasks.stream().filter(LongRunningSteps::mustRunAgain).count();
  }

  private static boolean mustRunAgain(Task task) {
    return task.run > 0 && task.isPlaceable();
  }
}
