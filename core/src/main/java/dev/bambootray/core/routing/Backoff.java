package dev.bambootray.core.routing;

import org.apache.commons.rng.UniformRandomProvider;

/** Computes retry delays by exponential backoff with full jitter. */
final class Backoff {
  private final long baseMs;
  private final long maxMs;

  Backoff(long baseMs, long maxMs) {
    this.baseMs = baseMs;
    this.maxMs = maxMs;
  }

  /** Returns a delay between 0 and the base doubled with each earlier attempt, in milliseconds. */
  long delayMs(int earlierAttempts, UniformRandomProvider random) {
    long ceilingMs = Math.min(maxMs, baseMs << Math.min(20, earlierAttempts));
    return random.nextLong(ceilingMs + 1);
  }
}
