package dev.bambootray.core.ownership;

import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import org.jspecify.annotations.Nullable;

/** An action that {@link RegionOwnership} asks its caller to carry out. */
public sealed interface OwnershipEffect {

  /** Reads all rows {@code owner/<region>} with one scan. */
  record ReadOwners() implements OwnershipEffect {}

  /**
   * Reads one row, either before taking a region or to find the outcome of an unanswered write.
   *
   * @param region the region
   */
  record ReadOwner(RegionId region) implements OwnershipEffect {}

  /**
   * Writes a row on condition that its version is unchanged.
   *
   * <p>The write is abandoned after 2,000 ms; a write that was not sent by then should be dropped.
   *
   * @param writeToken unique name of the write
   * @param row the new content; its {@code rowVersion} is the version that the row must have
   */
  record WriteOwner(String writeToken, OwnerRow row) implements OwnershipEffect {}

  /**
   * Reports that this node now owns a region; it must adopt the region's workers before any grant.
   *
   * @param ownership the region and the epoch of this node
   */
  record OwnershipGained(Ownership ownership) implements OwnershipEffect {}

  /**
   * Reports that this node no longer owns a region and must not grant anything there.
   *
   * @param ownership the former ownership
   * @param reason why it ended
   */
  record OwnershipLost(Ownership ownership, LossReason reason) implements OwnershipEffect {}

  /**
   * Reports that the owner or the epoch of a region has changed.
   *
   * @param region the region
   * @param ownership the owner and its epoch, or null if there is none
   */
  record OwnerChanged(RegionId region, @Nullable Ownership ownership) implements OwnershipEffect {}

  /** The reason for which an ownership ended. */
  enum LossReason {
    /** A worker or node refused a command because it had seen a higher epoch. */
    EPOCH_REFUSED,
    /** The row names another owner or epoch. */
    ROW_TAKEN,
    /** This node released the region. */
    RELEASED
  }
}
