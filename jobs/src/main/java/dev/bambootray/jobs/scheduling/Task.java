package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.ArrayList;
import java.util.List;

/** Tracks the state of one task of a job. */
final class Task {
  final StepInstance step;
  final TaskName name;
  State state;
  int run;
  int failures;
  String worker;
  String checkpoint;
  final CrashHistory crashes;

  /** Runs of this task whose end is not known yet, including earlier attempts. */
  final List<Placement> placements = new ArrayList<>(1);

  /** Number of runs of this task that were stopped in favor of another step. */
  int reclaims;

  Task(StepInstance step, TaskName name, TaskRecord saved) {
    this.step = step;
    this.name = name;
    state = saved.state();
    run = saved.run();
    failures = saved.failures();
    worker = saved.worker();
    checkpoint = saved.checkpoint();
    crashes = new CrashHistory(saved.crashes());
  }

  TaskRecord record() {
    String current = state == State.PLACED ? worker : "";
    return new TaskRecord(state, run, failures, current, checkpoint, crashes.count);
  }

  boolean isReady() {
    return state == State.WAITING && placements.isEmpty();
  }

  /** Returns whether it is ready and may share a worker with other tasks. */
  boolean isPlaceable() {
    return isReady() && !crashes.isolated;
  }

  /** Returns whether its worker has confirmed or listed the current run. */
  boolean isRunning() {
    return placements.stream().anyMatch(run -> (run.confirmed || run.listed) && run.isCurrent());
  }
}
