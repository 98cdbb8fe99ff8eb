package dev.bambootray.core.scheduling;

/** Limits the work that may be lost to preemption that is not urgent. */
final class LossBudget {
  /** Half of the 2% of all work that preemption may lose; urgent claims may use the rest. */
  private static final double MOST_LOST_SHARE = 0.01;

  private double doneMs;
  private double lostMs;

  /** Counts accelerator milliseconds of a job that ran to its end. */
  void completed(double workMs) {
    doneMs += workMs;
  }

  /** Counts accelerator milliseconds that a preemption lost. */
  void lost(double workMs) {
    lostMs += workMs;
  }

  /** Returns whether a preemption that is not urgent may lose the given work. */
  boolean allows(double workMs) {
    return lostMs + workMs <= MOST_LOST_SHARE * doneMs;
  }
}
