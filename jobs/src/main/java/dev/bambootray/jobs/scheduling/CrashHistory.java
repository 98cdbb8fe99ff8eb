package dev.bambootray.jobs.scheduling;

/** Remembers the crashes of workers on which a task was running. */
final class CrashHistory {
  /** Crashes after which a task starts only on a worker of its own. */
  private static final int ISOLATION_CRASHES = 2;

  /** Number of crashes that may have been caused by the task. */
  int count;

  /** Longest time from the start of a run of the task to the crash of its worker, if known. */
  long longestRunMs;

  /** Whether the task starts only on a worker that runs nothing else. */
  boolean isolated;

  /** Creates the history of a task of which an earlier owner has stored only the count. */
  CrashHistory(int count) {
    this.count = count;
    isolated = count >= ISOLATION_CRASHES;
  }

  /**
   * Adds a crash.
   *
   * @param runMs time for which the task had been running, or 0 if unknown
   * @param firstSuspect whether to isolate the task after its first crash
   */
  void add(long runMs, boolean firstSuspect) {
    count++;
    longestRunMs = Math.max(longestRunMs, runMs);
    isolated |= firstSuspect || count >= ISOLATION_CRASHES;
  }
}
