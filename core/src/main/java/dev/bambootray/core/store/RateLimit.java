package dev.bambootray.core.store;

/** A token bucket for one node's share of a rate limit of the cluster. */
final class RateLimit {
  private final double clusterPerSecond;
  private final double clusterBurst;
  private int nodes = 1;
  private double tokens;
  private long filledMs = Long.MIN_VALUE;

  RateLimit(double clusterPerSecond, double clusterBurst) {
    this.clusterPerSecond = clusterPerSecond;
    this.clusterBurst = clusterBurst;
    this.tokens = burst();
  }

  void shareAmong(int newNodes) {
    nodes = newNodes;
    tokens = Math.min(tokens, burst());
  }

  boolean mayTake(long nowMs) {
    fill(nowMs);
    return tokens >= 1;
  }

  /** Takes a token; urgent operations may take one before it is available. */
  void take(long nowMs) {
    fill(nowMs);
    tokens = Math.max(tokens - 1, -burst());
  }

  /** Empties the bucket, so that no burst follows. */
  void drain(long nowMs) {
    fill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void fill(long nowMs) {
    if (filledMs != Long.MIN_VALUE && nowMs > filledMs) {
      double gained = clusterPerSecond / nodes * (nowMs - filledMs) / 1_000;
      tokens = Math.min(burst(), tokens + gained);
    }
    filledMs = Math.max(filledMs, nowMs);
  }

  private double burst() {
    return Math.max(1, clusterBurst / nodes);
  }
}
