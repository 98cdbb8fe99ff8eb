package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Schedules runs of tasks on the workers chosen for them. */
final class StepPlacer {
  private final SchedulerState state;
  private final RunTracker runs;
  private final FreeResources freeResources;
  private final GangReservationPlanner gangPlanner;

  StepPlacer(
      SchedulerState state,
      RunTracker runs,
      FreeResources freeResources,
      GangReservationPlanner gangPlanner) {
    this.state = state;
    this.runs = runs;
    this.freeResources = freeResources;
    this.gangPlanner = gangPlanner;
  }

  /** Places tasks on the given workers and logs the placement. */
  void place(StepInstance step, List<Task> tasks, Map<WorkerState, Integer> places, EventTime now) {
    assign(step, tasks, places, now);
    logPlaced(step, tasks.size(), places.keySet(), now);
  }

  /** Places tasks on the given workers, in the order of both. */
  void assign(
      StepInstance step, List<Task> tasks, Map<WorkerState, Integer> places, EventTime now) {
    List<WorkerState> targets = new ArrayList<>();
    places.forEach(
        (worker, count) -> {
          freeResources.allocate(worker, step.spec.each(), count);
          gangPlanner.onPlaced(worker);
          for (int i = 0; i < count; i++) {
            targets.add(worker);
          }
        });
    int gangRun = step.isGang() ? step.nextRun() : 0;
    for (int i = 0; i < tasks.size(); i++) {
      Task task = tasks.get(i);
      step.reclaims = 0;
      task.run = gangRun > 0 ? gangRun : task.run + 1;
      task.state = State.PLACED;
      task.worker = targets.get(i).id();
      runs.schedule(task, new RunName(task.name, task.run), targets.get(i), now);
    }
  }

  /** Logs the placement of a number of tasks of a step. */
  void logPlaced(StepInstance step, int count, Collection<WorkerState> workers, EventTime now) {
    state.logDecision(
        step.job.spec.id(),
        "place step="
            + step.label()
            + " run="
            + (step.nextRun() - 1)
            + " tasks="
            + count
            + " waited_ms="
            + (step.readySinceMs < 0 ? 0 : now.ms() - step.readySinceMs)
            + " age_ms="
            + (now.ms() - step.job.acceptedMs)
            + " workers="
            + workers.stream().map(WorkerState::id).toList());
  }
}
