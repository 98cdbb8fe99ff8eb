package dev.bambootray.jobs.scheduling;

/**
 * Pauses placement on workers whose runs fail. A single faulty job must not disable a worker, so
 * only consecutive failures of different jobs count.
 */
final class WorkerHealth {
  /** Consecutive failures of different jobs after which a worker is paused. */
  private static final int STREAK = 2;

  private static final long FIRST_PAUSE_MS = 3_000;
  private static final long LONGEST_PAUSE_MS = 12_000;

  void succeeded(WorkerState worker) {
    worker.failureStreak = 0;
    worker.lastFailedJob = "";
  }

  void failed(Placement placement, Now now) {
    WorkerState worker = placement.worker;
    String job = placement.run.task().job();
    if (job.equals(worker.lastFailedJob)) {
      return;
    }
    worker.lastFailedJob = job;
    worker.failureStreak++;
    if (worker.failureStreak >= STREAK) {
      long pauseMs = FIRST_PAUSE_MS << Math.min(2, worker.failureStreak - STREAK);
      worker.pausedUntilMs = now.ms() + Math.min(LONGEST_PAUSE_MS, pauseMs);
    }
  }
}
