package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.scheduling.SchedulerTimes;

/**
 * Holds the times of the pool's lease, in milliseconds.
 *
 * @param readMs interval at which a node that is not the owner reads the owner row
 * @param renewMs interval at which the owner writes the owner row if there is nothing else to write
 * @param expiryMs time without a change of the owner row after which the owner may be replaced
 * @param claimDelayMs additional delay of this node, so that nodes do not claim at the same time
 * @param retryMs delay before a failed commit is retried
 * @param commitMs time limit of a commit while commits are quick
 * @param giveUpMs time after which an owner stops for which no answer of the store shows that the
 *     pool was its own
 */
public record PoolLeaseTimes(
    long readMs,
    long renewMs,
    long expiryMs,
    long claimDelayMs,
    long retryMs,
    long commitMs,
    long giveUpMs) {
  /** Multiple of the time to give up after which an owner stops that can read but not commit. */
  private static final int UNCOMMITTED_FACTOR = 3;

  /** Returns the default times of a node. */
  public static PoolLeaseTimes defaults(long claimDelayMs, long giveUpMs) {
    // A store that is 60 times slower than usual takes 0.3 s for a write and 0.25 s for a read.
    return new PoolLeaseTimes(
        300, 400, SchedulerTimes.SHORTEST_EXPIRY_MS, claimDelayMs, 200, 1_200, giveUpMs);
  }

  /** Returns the longest time limit of a commit, which leaves a whole one before giving up. */
  long longestCommitMs() {
    return giveUpMs - renewMs - retryMs;
  }

  /** Returns the time without a commit after which an owner stops that still reads its row. */
  long uncommittedMs() {
    return UNCOMMITTED_FACTOR * giveUpMs;
  }
}
