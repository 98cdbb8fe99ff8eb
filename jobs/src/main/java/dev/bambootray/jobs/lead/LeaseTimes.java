package dev.bambootray.jobs.lead;

/**
 * Times of the pool's lease, in milliseconds.
 *
 * @param readMs interval at which a node that is not the owner reads the owner row
 * @param renewMs interval at which the owner writes it if there is nothing else to write
 * @param expiryMs an owner whose row has not changed for this long may be replaced
 * @param claimDelayMs added to it on this node, so that nodes do not claim all at once
 * @param retryMs pause before a failed commit is repeated
 * @param giveUpMs an owner whose commits have failed for this long stops
 */
public record LeaseTimes(
    long readMs, long renewMs, long expiryMs, long claimDelayMs, long retryMs, long giveUpMs) {

  /** Returns the defaults for a node. */
  public static LeaseTimes defaults(long claimDelayMs, long giveUpMs) {
    // A store that is 60 times slower than usual takes 0.3 s for a write and 0.25 s for a read.
    return new LeaseTimes(300, 400, 1_300, claimDelayMs, 200, giveUpMs);
  }
}
