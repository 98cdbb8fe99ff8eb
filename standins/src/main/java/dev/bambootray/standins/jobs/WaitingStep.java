package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A step whose turn has come: all steps before it are done, and it has tasks that are not.
 *
 * @param job identifier of its job
 * @param number number of the step within the job, from 0
 * @param spec the step
 * @param tasks number of its tasks that are not done
 */
public record WaitingStep(String job, int number, StepSpec spec, int tasks) {
  /**
   * Returns the steps of a job without occurrences whose turn has come.
   *
   * @param job identifier of the job
   * @param steps all its steps
   * @param isDone returns whether a task has ended as done
   */
  public static List<WaitingStep> of(String job, List<StepSpec> steps, Predicate<TaskName> isDone) {
    List<Integer> left = new ArrayList<>();
    for (int number = 0; number < steps.size(); number++) {
      left.add(countLeft(job, number, steps.get(number), isDone));
    }
    List<WaitingStep> waiting = new ArrayList<>();
    for (int number = 0; number < steps.size(); number++) {
      boolean turnHasCome = steps.get(number).after().stream().map(left::get).allMatch(n -> n == 0);
      if (turnHasCome && left.get(number) > 0) {
        waiting.add(new WaitingStep(job, number, steps.get(number), left.get(number)));
      }
    }
    return waiting;
  }

  private static int countLeft(String job, int number, StepSpec step, Predicate<TaskName> isDone) {
    int done = 0;
    for (int index = 0; index < step.count(); index++) {
      done += isDone.test(new TaskName(job, 0, number, index)) ? 1 : 0;
    }
    // The end of one member of a gang stands for all.
    return step.gang() && done > 0 ? 0 : step.count() - done;
  }

  /** Returns how many tasks have to start together. */
  int together() {
    return spec.gang() ? spec.count() : 1;
  }
}
