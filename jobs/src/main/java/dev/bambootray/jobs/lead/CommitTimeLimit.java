package dev.bambootray.jobs.lead;

/**
 * Time after which a commit without an answer counts as lost and is sent again. It follows how long
 * commits take, since one that is sent again occupies the store twice and conflicts with itself.
 */
final class CommitTimeLimit {
  /** Multiple of the longest recent time of a commit after which one counts as lost. */
  private static final int LIMIT_FACTOR = 2;

  /** Factor by which the longest recent time decays with each shorter one. */
  private static final double DECAY = 0.8;

  private final PoolLeaseTimes times;
  private double longestMs;

  CommitTimeLimit(PoolLeaseTimes times) {
    this.times = times;
  }

  /**
   * Returns the time limit of the commit in flight.
   *
   * @param readAnswered whether the store has answered a read meanwhile, so that the commit is slow
   *     rather than lost
   */
  long limitMs(boolean readAnswered) {
    long slowMs = (long) (LIMIT_FACTOR * longestMs);
    return readAnswered
        ? times.longestCommitMs()
        : Math.min(times.longestCommitMs(), Math.max(times.commitMs(), slowMs));
  }

  /** Records that a commit was answered. */
  void onAnswered(long tookMs) {
    longestMs = Math.max((double) tookMs, longestMs * DECAY);
  }
}
