package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.StepSpec;
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
    List<StepInstance> steps = new ArrayList<>(job.spec.steps().size());
    int next = 0;
    for (StepSpec spec : job.spec.steps()) {
      StepInstance step = new StepInstance(job, number, steps.size(), spec);
      List<TaskRecord> ofStep = records.subList(next, next + spec.count());
      if (!ofStep.stream().allMatch(TaskRecord.NEW::equals)) {
        step.open(ofStep);
      }
      steps.add(step);
      next += spec.count();
    }
    Occurrence occurrence = new Occurrence(steps);
    occurrence.openReadySteps();
    return occurrence;
  }

  /** Opens the steps whose earlier steps are done. */
  void openReadySteps() {
    for (StepInstance step : steps) {
      if (!step.isOpen() && isReady(step)) {
        step.openNew();
      }
    }
  }

  /** Returns whether the steps that a step depends on are done. */
  boolean isReady(StepInstance step) {
    for (int before : step.spec.after()) {
      if (!steps.get(before).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the records of all its tasks in the order of step and index. */
  List<TaskRecord> records() {
    return steps.stream().flatMap(step -> step.records().stream()).toList();
  }

  /** Returns the tasks of its open steps. */
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
