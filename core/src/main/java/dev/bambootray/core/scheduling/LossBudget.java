package dev.bambootray.core.scheduling;

/** Limits the work that non-urgent preemption may lose. */
final class LossBudget {
  /** Half of the 2% of all work that preemption may lose; the rest is left to urgent claims. */
  private static final double MAX_LOST_SHARE = 0.01;

  private double doneMs;
  private double lostMs;

  /** Counts the accelerator milliseconds of a completed job. */
  void completed(double workMs) {
    doneMs += workMs;
  }

  /** Counts the accelerator milliseconds that a preemption lost. */
  void lost(double workMs) {
    lostMs += workMs;
  }

  /** Returns whether a non-urgent preemption may lose the given work. */
  boolean allows(double workMs) {
    return lostMs + workMs <= MAX_LOST_SHARE * doneMs;
  }
}
