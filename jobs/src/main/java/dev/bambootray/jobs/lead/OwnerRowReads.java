package dev.bambootray.jobs.lead;

import org.jspecify.annotations.Nullable;

/**
 * Keeps what this node's reads of the owner row have shown, and for how long the row has certainly
 * not changed. An answer tells the content at some time after its read was sent.
 */
final class OwnerRowReads {
  /** Factor by which the longest recent time of a read decays with each shorter one. */
  private static final double READ_DECAY = 0.8;

  /**
   * Factor by which the owner's longest recent interval decays with each shorter one. A commit that
   * was sent to a slow store may still be on its way when reads are quick again.
   */
  private static final double INTERVAL_DECAY = 0.9;

  /** Multiple by which commits slow down with reads; unlike reads, they wait for each other. */
  private static final int COMMIT_FACTOR = 6;

  /**
   * Multiple of the owner's longest recent interval of writing after which it is replaced. An owner
   * on a store that is not slow is seen to write every 0.7 s at least, so this adds nothing there.
   */
  private static final double INTERVAL_FACTOR = 1.8;

  private final PoolLeaseTimes times;
  private @Nullable OwnerRecord newest;
  private long version = -1;
  private boolean pending;
  private boolean failed;
  private long sentMs;
  private long answeredMs;
  private long failedMs = Long.MIN_VALUE;
  private long unchangedSinceMs;
  private double longestReadMs;
  private double longestIntervalMs;

  OwnerRowReads(PoolLeaseTimes times) {
    this.times = times;
  }

  /** Returns the content that the latest answer showed, or null. */
  @Nullable OwnerRecord newest() {
    return newest;
  }

  /** Returns whether a read has no answer yet. */
  boolean isPending() {
    return pending;
  }

  /** Returns when the latest answered read was sent. */
  long sentMs() {
    return sentMs;
  }

  /**
   * Returns whether the store answers reads while a commit is in flight. If it did not shortly
   * before, it may have lost the commit.
   */
  boolean isAnsweredDuring(long commitSentMs) {
    return answeredMs > commitSentMs && failedMs < commitSentMs - times.commitMs();
  }

  void onSent(long nowMs) {
    pending = true;
    sentMs = nowMs;
  }

  void onFailed(long nowMs) {
    pending = false;
    failedMs = nowMs;
    failed = true;
  }

  void onAnswered(@Nullable OwnerRecord owner, long readVersion, long nowMs) {
    if (!pending) {
      sentMs = nowMs;
    }
    pending = false;
    answeredMs = nowMs;
    longestReadMs = Math.max((double) (nowMs - sentMs), longestReadMs * READ_DECAY);
    if (readVersion != version && !failed && isSameOwner(owner)) {
      longestIntervalMs =
          Math.max((double) (nowMs - unchangedSinceMs), longestIntervalMs * INTERVAL_DECAY);
    }
    // No owner can renew while the store is unavailable, so the time of an outage does not count.
    if (readVersion != version || failed) {
      unchangedSinceMs = nowMs;
    }
    failed = false;
    newest = owner;
    version = readVersion;
  }

  /**
   * Records that a claim failed though no other node has claimed. Claims wait among the commits of
   * the owner and delay them, so the next one takes longer to come.
   */
  void onClaimFailed() {
    longestIntervalMs = expiryMs();
  }

  /** Forgets for how long the row has not changed. */
  void restart() {
    version = -1;
  }

  /**
   * Returns for how long the row had not changed, as far as the latest answer shows. It may have
   * changed since the latest read was sent; up to the usual interval of reads that is tolerated.
   */
  long unchangedMs(long nowMs) {
    long lateMs = Math.max(0, nowMs - sentMs - times.readMs());
    return nowMs - unchangedSinceMs - lateMs;
  }

  /**
   * Returns the time without a change after which the owner may be replaced. It is longer while the
   * owner writes at long intervals, or reads are slow, so that commits are too. An owner that has
   * written nothing for the longest time has given up or will soon.
   */
  long expiryMs() {
    long lateMs = COMMIT_FACTOR * Math.max(0, (long) longestReadMs - times.readMs());
    long intervalsMs = (long) (INTERVAL_FACTOR * longestIntervalMs);
    return Math.min(times.giveUpMs(), Math.max(times.expiryMs() + lateMs, intervalsMs));
  }

  private boolean isSameOwner(@Nullable OwnerRecord owner) {
    return version >= 0
        && owner != null
        && newest != null
        && owner.holder().equals(newest.holder())
        && owner.epoch() == newest.epoch();
  }
}
