package dev.bambootray.core.store;

/** A token bucket. */
final class RateLimit {
  private final double burstSeconds;
  private double perSecond;
  private double tokens;
  private long filledMs = Long.MIN_VALUE;

  RateLimit(double perSecond, double burstSeconds) {
    this.perSecond = perSecond;
    this.burstSeconds = burstSeconds;
    this.tokens = burst();
  }

  void setPerSecond(double changed) {
    perSecond = changed;
    tokens = Math.min(tokens, burst());
  }

  boolean mayTake(long nowMs) {
    fill(nowMs);
    return tokens >= 1;
  }

  /** Takes a token; urgent operations may take it in advance. */
  void take(long nowMs) {
    fill(nowMs);
    tokens = Math.max(tokens - 1, -burst());
  }

  /** Empties the bucket, so that the rate starts low. */
  void drain(long nowMs) {
    fill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void fill(long nowMs) {
    if (filledMs != Long.MIN_VALUE && nowMs > filledMs) {
      tokens = Math.min(burst(), tokens + perSecond * (nowMs - filledMs) / 1_000);
    }
    filledMs = Math.max(filledMs, nowMs);
  }

  private double burst() {
    return Math.max(1, perSecond * burstSeconds);
  }
}
