package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** Tracks the progress of an accepted job on the owner. */
final class Job {
  final JobSpec spec;

  /** Time of acceptance by the scheduler's monotonic clock. */
  final long acceptedMs;

  final List<StepInstance> steps = new ArrayList<>();
  JobPhase phase = JobPhase.QUEUED;
  long finishedWallMs;

  private Job(JobSpec spec, long acceptedMs) {
    this.spec = spec;
    this.acceptedMs = acceptedMs;
  }

  /** Creates a job from its specification and, if there is one, its stored record. */
  static Job of(JobSpec spec, @Nullable JobRecord saved, EventTime now) {
    // Clocks of nodes differ, so a time of acceptance in the future counts as now.
    Job job = new Job(spec, now.ms() - Math.max(0, now.wallMs() - spec.acceptedWallMs()));
    if (saved != null) {
      job.phase = saved.phase();
      job.finishedWallMs = saved.finishedWallMs();
    }
    // A final job needs its steps as well: a worker may still list runs that must be stopped.
    job.buildSteps(saved == null ? List.of() : saved.tasks());
    return job;
  }

  JobRecord record() {
    List<TaskRecord> kept = phase.isFinal() ? List.of() : tasks().map(Task::record).toList();
    return new JobRecord(spec.id(), phase, finishedWallMs, kept);
  }

  Stream<Task> tasks() {
    return steps.stream().flatMap(step -> step.tasks.stream());
  }

  Optional<Task> task(TaskName name) {
    return steps.stream()
        .filter(step -> step.occurrence == name.occurrence() && step.index == name.step())
        .flatMap(step -> step.tasks.stream())
        .filter(task -> task.name.equals(name))
        .findFirst();
  }

  boolean isDone() {
    return steps.stream().allMatch(StepInstance::isDone);
  }

  /**
   * Returns whether the steps that a step depends on are done and its scheduled time is reached.
   */
  boolean isDue(StepInstance step, long wallMs) {
    return spec.schedule().dueWallMs(step.occurrence) <= wallMs
        && step.spec.after().stream()
            .allMatch(before -> steps.get(step.occurrence * spec.steps().size() + before).isDone());
  }

  /** Moves the job to a final phase. */
  void finish(JobPhase end, long wallMs) {
    phase = end;
    finishedWallMs = wallMs;
  }

  private void buildSteps(List<TaskRecord> saved) {
    int next = 0;
    for (int occurrence = 0; occurrence < spec.schedule().occurrences(); occurrence++) {
      for (int index = 0; index < spec.steps().size(); index++) {
        StepSpec step = spec.steps().get(index);
        StepInstance run = new StepInstance(this, occurrence, index, step);
        for (int task = 0; task < step.count(); task++) {
          TaskRecord record = next < saved.size() ? saved.get(next) : TaskRecord.NEW;
          run.tasks.add(new Task(run, new TaskName(spec.id(), occurrence, index, task), record));
          next++;
        }
        steps.add(run);
      }
    }
  }
}
