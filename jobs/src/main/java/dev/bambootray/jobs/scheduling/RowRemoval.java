package dev.bambootray.jobs.scheduling;

import java.util.List;

/** Removes the stored rows of jobs that ended long ago, and cancellation marks without a job. */
final class RowRemoval {
  /** Interval at which expired rows are removed. */
  private static final long INTERVAL_MS = 5_000;

  /** Limit of expired jobs, and of expired marks, that are removed at a time. */
  private static final int MAX_REMOVALS = 20;

  private final SchedulerState state;
  private long nextMs;

  RowRemoval(SchedulerState state) {
    this.state = state;
  }

  /** Requests the removal of expired rows, at most once in each interval. */
  void run(EventTime now) {
    if (now.ms() < nextMs) {
      return;
    }
    nextMs = now.ms() + INTERVAL_MS;
    List<String> old =
        state.jobs.values().stream()
            .filter(job -> job.phase.isFinal())
            .filter(job -> now.wallMs() - job.finishedWallMs > state.times.keepFinishedMs())
            .map(job -> job.spec.id())
            .limit(MAX_REMOVALS)
            .toList();
    old.forEach(id -> state.emit(new JobEffect.RemoveJobRows(id)));
    state
        .earlyCancellations
        .expired(now.ms(), MAX_REMOVALS)
        .forEach(id -> state.emit(new JobEffect.RemoveCancelMark(id)));
  }

  void onRowsRemoved(String id) {
    if (state.jobs.remove(id) != null) {
      state.batches.markRemoved(id);
    }
  }

  void onMarkRemoved(String id) {
    state.earlyCancellations.remove(id);
  }
}
