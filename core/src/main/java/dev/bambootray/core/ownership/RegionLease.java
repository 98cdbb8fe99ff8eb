package dev.bambootray.core.ownership;

import static dev.bambootray.core.ownership.RegionLeaseTimes.DEAD_OWNER_LEASE_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.LEASE_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.MAX_READ_GAP_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.SETTLED_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.STORE_TIMEOUT_MS;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * State of one region's lease at this node: the row as last read, the claim and a pending write.
 */
final class RegionLease {
  final RegionId region;
  OwnerRow row;
  boolean rowKnown;
  long unchangedSinceMs;
  long lastReadMs = Long.MIN_VALUE / 2;
  @Nullable Ownership held;
  long renewAtMs;
  long renewedAtMs;
  long takeAtMs = -1;
  long retakeAfterMs;
  long nextMoveMs;
  long moveIntervalMs = SETTLED_MS;
  @Nullable Attempt attempt;

  /** Content of the latest attempt to take the region, even if it was not answered. */
  @Nullable OwnerRow lastTake;

  RegionLease(RegionId region) {
    this.region = region;
    this.row = OwnerRow.absent(region);
  }

  /** Records a row that was read; returns whether its owner or epoch changed. */
  boolean observe(OwnerRow read, long nowMs) {
    if (rowKnown && read.rowVersion() < row.rowVersion()) {
      return false;
    }
    boolean same = rowKnown && read.rowVersion() == row.rowVersion();
    if (!same || nowMs - lastReadMs > MAX_READ_GAP_MS) {
      unchangedSinceMs = nowMs;
      takeAtMs = -1;
    }
    boolean changed = read.epoch() != row.epoch() || !sameOwner(read.owner(), row.owner());
    row = read;
    rowKnown = true;
    lastReadMs = nowMs;
    return changed;
  }

  /** Returns whether the row names no owner, or one whose lease has ended. */
  boolean isFree(NodeId self, Set<NodeId> dead, long nowMs) {
    if (!rowKnown || nowMs - lastReadMs > MAX_READ_GAP_MS) {
      return false;
    }
    NodeId owner = row.owner();
    // A row that names this node while it holds no claim was written by an earlier process.
    return owner == null
        || owner.equals(self)
        || nowMs - unchangedSinceMs >= (dead.contains(owner) ? DEAD_OWNER_LEASE_MS : LEASE_MS);
  }

  /** Returns whether the row was written by this process's latest attempt to take the region. */
  boolean isOutcomeOfLastTake(OwnerRow read) {
    return lastTake != null
        && read.epoch() == lastTake.epoch()
        && read.rowVersion() == lastTake.rowVersion() + 1
        && sameOwner(read.owner(), lastTake.owner());
  }

  boolean isAttemptOverdue(long nowMs) {
    return attempt != null && nowMs - attempt.sentMs() >= STORE_TIMEOUT_MS;
  }

  private static boolean sameOwner(@Nullable NodeId a, @Nullable NodeId b) {
    return a == null ? b == null : a.equals(b);
  }

  /** The purpose of a write. */
  enum Purpose {
    TAKE,
    RENEW,
    RELEASE
  }

  /**
   * A pending write, or the read that precedes it or finds its outcome.
   *
   * @param token token of the write, empty for a read before a take
   * @param purpose its purpose
   * @param row the content to write
   * @param sentMs when the write or the read was sent
   * @param settling whether the row is being read
   */
  record Attempt(String token, Purpose purpose, OwnerRow row, long sentMs, boolean settling) {}
}
