package dev.bambootray.core.store;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Delays calls to the table by exponential backoff with full jitter, for all operations of a node.
 */
final class StoreBackoff {
  static final long BASE_MS = 50;

  /**
   * Longest delay. It is shorter than the lease of 3,000 ms minus the duration of a write, so that
   * after an outage owners renew their leases before other nodes may take over.
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

  /**
   * Records a failure; failures of operations that were sent before the last one was known count
   * once.
   */
  void failed(long nowMs) {
    if (isWaiting(nowMs)) {
      return;
    }
    failures++;
    long limit = Math.min(CAP_MS, BASE_MS << Math.min(failures, 10));
    retryAtMs = nowMs + 1 + random.nextLong(limit);
  }
}
