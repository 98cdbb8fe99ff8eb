package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.Now;

/**
 * Notices that the process did not run for a while.
 *
 * <p>It is asked at least with every tick of the control thread. A process that was stopped sees a
 * gap on the steady clock; on a VM that was suspended only the time of day has moved on.
 */
final class PauseGuard {
  /** Longer than any pause of the collector or a busy machine; a configuration changes in 2.5 s. */
  private static final long PAUSE_MS = 1_000;

  private long lastMs;
  private long lastWallMs;

  PauseGuard(Now start) {
    lastMs = start.ms();
    lastWallMs = start.wallMs();
  }

  /** Returns whether there was a pause since the last question. */
  synchronized boolean pausedSinceLast(Now now) {
    boolean paused = now.ms() - lastMs > PAUSE_MS || now.wallMs() - lastWallMs > PAUSE_MS;
    lastMs = now.ms();
    lastWallMs = now.wallMs();
    return paused;
  }
}
