package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Tracks the steps of one occurrence of a job. */
final class Occurrence {
  final List<StepInstance> steps;

  private Occurrence(List<StepInstance> steps) {
    this.steps = steps;
  }

  /**
   * Creates an occurrence that continues from the records of its tasks.
   *
   * @param job the job
   * @param number index of the occurrence
   * @param records records of its tasks in the order of step and index
   */
  static Occurrence of(Job job, int number, List<TaskRecord> records) {
    JobSpec spec = job.spec;
    List<StepInstance> steps = new ArrayList<>(spec.steps().size());
    int next = 0;
    for (int index = 0; index < spec.steps().size(); index++) {
      StepSpec stepSpec = spec.steps().get(index);
      StepInstance step = new StepInstance(job, number, index, stepSpec);
      for (int task = 0; task < stepSpec.count(); task++) {
        TaskName name = new TaskName(spec.id(), number, index, task);
        step.tasks.add(new Task(step, name, records.get(next)));
        next++;
      }
      steps.add(step);
    }
    return new Occurrence(steps);
  }

  Stream<Task> tasks() {
    return steps.stream().flatMap(step -> step.tasks.stream());
  }

  boolean isDone() {
    for (StepInstance step : steps) {
      if (!step.isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether no run of its tasks is known. */
  boolean isIdle() {
    return tasks().allMatch(task -> task.placements.isEmpty());
  }

  /** Returns whether a run of one of its tasks was ever placed. */
  boolean hasBegun() {
    return tasks().anyMatch(task -> task.run > 0);
  }
}
