package dev.bambootray.jobs.scheduling;

/**
 * Evidence against workers from the runs that fail on them. One failing job does not condemn a
 * worker: only failures of different jobs in a row count.
 */
final class WorkerHealth {
  /** Failures of different jobs in a row after which a worker gets no new runs for a while. */
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
