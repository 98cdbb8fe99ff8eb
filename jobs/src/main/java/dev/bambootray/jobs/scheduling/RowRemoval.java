package dev.bambootray.jobs.scheduling;

import java.util.List;

/** Removes the stored rows of jobs that ended long ago, and cancellation marks without a job. */
final class RowRemoval {
  /** Interval at which expired rows are removed. */
  private static final long INTERVAL_MS = 5_000;

  /** Lowest limit of expired jobs, and of expired marks, that are removed at a time. */
  private static final int MIN_REMOVALS = 20;

  /** A backlog of expired rows is removed in parts, so that it shrinks however fast jobs come. */
  private static final int PARTS_OF_BACKLOG = 10;

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
    List<String> jobs =
        state.jobs.values().stream()
            .filter(job -> job.phase.isFinal())
            .filter(job -> now.wallMs() - job.finishedWallMs > state.times.keepFinishedMs())
            .map(job -> job.spec.id())
            .toList();
    firstPart(jobs).forEach(id -> state.emit(new JobEffect.RemoveJobRows(id)));
    firstPart(state.earlyCancellations.expired(now.ms()))
        .forEach(id -> state.emit(new JobEffect.RemoveCancelMark(id)));
  }

  private static List<String> firstPart(List<String> backlog) {
    int size = Math.max(MIN_REMOVALS, backlog.size() / PARTS_OF_BACKLOG);
    return backlog.subList(0, Math.min(size, backlog.size()));
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
