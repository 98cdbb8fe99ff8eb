package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.EventTime;

/**
 * Detects that the process was paused.
 *
 * <p>It is called at least with every tick of the thread that it observes. After a stop of the
 * process both clocks have jumped; after a suspension of the VM only the wall clock has.
 */
final class PauseDetector {
  /**
   * Longer than any pause by garbage collection or a busy machine, and shorter than the 2.5 s
   * within which a new declaration must apply.
   */
  private static final long PAUSE_MS = 1_000;

  private long lastMs;
  private long lastWallMs;

  PauseDetector(EventTime start) {
    lastMs = start.ms();
    lastWallMs = start.wallMs();
  }

  /** Returns whether the process was paused since the last call. */
  synchronized boolean pausedSinceLastCall(EventTime now) {
    boolean paused = isPausedUntil(now);
    lastMs = now.ms();
    lastWallMs = now.wallMs();
    return paused;
  }

  /** Returns whether the process was paused between the last call and a time that was noted. */
  synchronized boolean isPausedUntil(EventTime noted) {
    return noted.ms() - lastMs > PAUSE_MS || noted.wallMs() - lastWallMs > PAUSE_MS;
  }
}
