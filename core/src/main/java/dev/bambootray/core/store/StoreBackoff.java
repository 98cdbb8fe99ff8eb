package dev.bambootray.core.store;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with full jitter, shared by all operations of a node. */
final class StoreBackoff {
  static final long BASE_MS = 50;

  /**
   * Shorter than the lease of 3,000 ms less the time of a write, so that after an outage the owners
   * renew before other nodes may take over.
   */
  static final long CAP_MS = 2_000;

  private final UniformRandomProvider random;
  private int failures;
  private long retryAtMs = Long.MIN_VALUE;

  StoreBackoff(UniformRandomProvider random) {
    this.random = random;
  }

  boolean isAvailable() {
    return failures == 0;
  }

  boolean isWaiting(long nowMs) {
    return nowMs < retryAtMs;
  }

  long retryAtMs() {
    return retryAtMs;
  }

  void succeeded() {
    failures = 0;
    retryAtMs = Long.MIN_VALUE;
  }

  /** Notes a failure; failures of operations sent before the last one was known count once. */
  void failed(long nowMs) {
    if (isWaiting(nowMs)) {
      return;
    }
    failures++;
    long limit = Math.min(CAP_MS, BASE_MS << Math.min(failures, 10));
    retryAtMs = nowMs + 1 + random.nextLong(limit);
  }
}
