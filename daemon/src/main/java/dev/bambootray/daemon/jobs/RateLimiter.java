package dev.bambootray.daemon.jobs;

/** Limits how often something is done, with an allowance for bursts. */
final class RateLimiter {
  private final double perMs;
  private final int burst;
  private double available;
  private long updatedMs;

  /**
   * Creates a limiter with its whole allowance.
   *
   * @param perSecond how often it may be done for long
   * @param burst how often it may be done at once
   */
  RateLimiter(int perSecond, int burst) {
    perMs = perSecond / 1_000.0;
    this.burst = burst;
    available = burst;
    updatedMs = Long.MIN_VALUE;
  }

  /** Returns whether it may be done now, and counts it if so. */
  synchronized boolean tryAcquire(long nowMs) {
    if (updatedMs != Long.MIN_VALUE) {
      available = Math.min(burst, available + perMs * Math.max(0, nowMs - updatedMs));
    }
    updatedMs = nowMs;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
