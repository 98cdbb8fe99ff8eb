package dev.bambootray.core.routing;

import java.util.Arrays;

/**
 * Limits extra runs (retries and hedges) to a share of the first runs of the last 10 s. There is no
 * minimum: with fewer than ten first runs in 10 s and a share of 0.1, nothing is retried.
 */
final class RetryBudget {
  private static final int BUCKETS = 100;
  private static final long BUCKET_MS = 100;

  private final int[] firsts = new int[BUCKETS];
  private final int[] extras = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;
  private int firstCount;
  private int extraCount;
  private int reserved;

  /** Counts a first run. */
  void recordFirst(long nowMs) {
    firsts[advance(nowMs)]++;
    firstCount++;
  }

  /** Reserves an extra run for a later dispatch; returns false if the budget is spent. */
  boolean reserve(double share, long nowMs) {
    advance(nowMs);
    if (extraCount + reserved + 1 > share * firstCount) {
      return false;
    }
    reserved++;
    return true;
  }

  /** Releases a reserved extra run. */
  void release() {
    reserved--;
  }

  /** Counts an extra run if the budget allows it; returns false if the budget is spent. */
  boolean spend(double share, long nowMs) {
    int bucket = advance(nowMs);
    if (extraCount + 1 > share * firstCount) {
      return false;
    }
    extras[bucket]++;
    extraCount++;
    return true;
  }

  private int advance(long nowMs) {
    long bucket = Math.floorDiv(nowMs, BUCKET_MS);
    if (currentBucket == Long.MIN_VALUE || bucket - currentBucket >= BUCKETS) {
      Arrays.fill(firsts, 0);
      Arrays.fill(extras, 0);
      firstCount = 0;
      extraCount = 0;
      currentBucket = bucket;
    }
    while (currentBucket < bucket) {
      currentBucket++;
      int index = index(currentBucket);
      firstCount -= firsts[index];
      extraCount -= extras[index];
      firsts[index] = 0;
      extras[index] = 0;
    }
    return index(currentBucket);
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }
}
