package dev.bambootray.core.ownership;

import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import org.jspecify.annotations.Nullable;

/** What the ownership of regions wants done. */
public sealed interface OwnershipEffect {

  /** Read all rows {@code owner/<region>} with one scan. */
  record ReadOwners() implements OwnershipEffect {}

  /**
   * Read one row to settle a write whose answer was lost.
   *
   * @param region the region
   */
  record ReadOwner(RegionId region) implements OwnershipEffect {}

  /**
   * Write a row on condition that its version is unchanged. It is useless after 2,000 ms; a write
   * that was not sent by then is best dropped.
   *
   * @param writeToken unique name of the write
   * @param row the new content; its {@code rowVersion} is the version that the row must have
   */
  record WriteOwner(String writeToken, OwnerRow row) implements OwnershipEffect {}

  /**
   * This node owns a region now; adopt its workers before any grant.
   *
   * @param ownership the claim
   */
  record OwnershipGained(Ownership ownership) implements OwnershipEffect {}

  /**
   * This node owns a region no more; grant nothing from now on.
   *
   * @param ownership the former claim
   * @param reason why it ended
   */
  record OwnershipLost(Ownership ownership, LossReason reason) implements OwnershipEffect {}

  /**
   * A region has another owner than known before.
   *
   * @param region the region
   * @param ownership the owner and its epoch, or null if there is none
   */
  record OwnerChanged(RegionId region, @Nullable Ownership ownership) implements OwnershipEffect {}

  /** Why a claim ended. */
  enum LossReason {
    /** A worker or node knows a higher epoch. */
    EPOCH_REFUSED,
    /** The row names another owner or epoch. */
    ROW_TAKEN,
    /** This node gave the region up. */
    RELEASED
  }
}
