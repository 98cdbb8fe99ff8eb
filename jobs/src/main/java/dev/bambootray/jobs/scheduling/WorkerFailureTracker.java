package dev.bambootray.jobs.scheduling;

/**
 * Pauses placement on workers whose runs fail. A single faulty job must not disable a worker, so
 * only consecutive failures of different jobs count.
 */
final class WorkerFailureTracker {
  /** Consecutive failures of different jobs after which a worker is paused. */
  private static final int FAILURE_STREAK_LIMIT = 2;

  private static final long FIRST_PAUSE_MS = 3_000;
  private static final long MAX_PAUSE_MS = 12_000;

  /**
   * Pause after a failure of a long-running task, which may fail at any time and perhaps fits on no
   * other worker. The platform allows 3 s without a run beside idle capacity.
   */
  private static final long LONG_RUNNING_PAUSE_MS = 2_000;

  void onSucceeded(WorkerState worker) {
    worker.failureStreak = 0;
    worker.lastFailedJob = "";
  }

  void onFailed(Placement placement, EventTime now) {
    WorkerState worker = placement.worker;
    String job = placement.run.task().job();
    if (job.equals(worker.lastFailedJob)) {
      return;
    }
    worker.lastFailedJob = job;
    worker.failureStreak++;
    if (worker.failureStreak < FAILURE_STREAK_LIMIT) {
      return;
    }
    if (placement.task.step.spec.longRunning()) {
      worker.pausedUntilMs = Math.max(worker.pausedUntilMs, now.ms() + LONG_RUNNING_PAUSE_MS);
      return;
    }
    long pauseMs = FIRST_PAUSE_MS << Math.min(2, worker.failureStreak - FAILURE_STREAK_LIMIT);
    worker.pausedUntilMs = now.ms() + Math.min(MAX_PAUSE_MS, pauseMs);
  }
}
