package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.List;

/**
 * Stops runs that make no progress although their worker answers, so that their tasks start again
 * on another worker. Single tasks may hang on a worker that is otherwise healthy.
 */
final class StallDetector {
  private static final long WORKER_PAUSE_MS = 5_000;
  private static final int DONE_PERCENT = 100;

  private final SchedulerState state;
  private final RunTracker runs;

  StallDetector(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  void check(EventTime now) {
    for (WorkerState worker : List.copyOf(state.workers.values())) {
      for (Placement placement : List.copyOf(worker.placements.values())) {
        if (isStalled(placement, now.ms())) {
          worker.pausedUntilMs = Math.max(worker.pausedUntilMs, now.ms() + WORKER_PAUSE_MS);
          runs.stopWithGang(
              placement, StopCause.NO_PROGRESS, "no progress at percent=" + placement.percent, now);
        }
      }
    }
  }

  private boolean isStalled(Placement placement, long nowMs) {
    if (placement.phase != Phase.RUNNING
        || placement.percent >= DONE_PERCENT
        || placement.worker.failedCalls > 0
        || nowMs - placement.percentSinceMs <= state.times.stallMs()) {
      return false;
    }
    // Members of a gang wait for each other, so only the one with the least progress is stalled.
    StepInstance step = placement.task.step;
    return !step.isGang()
        || step.tasks.stream()
            .flatMap(task -> task.placements.stream())
            .allMatch(other -> other.percent >= placement.percent);
  }
}
