package dev.bambootray.core.ownership;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.RegionId;
import java.util.List;
import java.util.Set;

/** An input of {@link RegionOwnership}. */
public sealed interface OwnershipEvent {

  /** Signals that time has passed; expected at least every 100 ms. */
  record Tick() implements OwnershipEvent {}

  /**
   * The members of the cluster changed.
   *
   * @param members all members as this node sees them, itself included
   */
  record MembersChanged(List<MemberState> members) implements OwnershipEvent {
    /** Copies the list. */
    public MembersChanged {
      members = List.copyOf(members);
    }
  }

  /**
   * The declared regions changed.
   *
   * @param regions all declared regions
   */
  record RegionsDeclared(Set<RegionId> regions) implements OwnershipEvent {
    /** Copies the set. */
    public RegionsDeclared {
      regions = Set.copyOf(regions);
    }
  }

  /**
   * All rows {@code owner/<region>} were read; a declared region without a row is absent.
   *
   * @param rows the rows
   */
  record OwnersRead(List<OwnerRow> rows) implements OwnershipEvent {
    /** Copies the list. */
    public OwnersRead {
      rows = List.copyOf(rows);
    }
  }

  /** The rows could not be read. */
  record OwnersReadFailed() implements OwnershipEvent {}

  /**
   * One row was read.
   *
   * @param row the row
   */
  record OwnerRead(OwnerRow row) implements OwnershipEvent {}

  /**
   * A row could not be read.
   *
   * @param region the region
   */
  record OwnerReadFailed(RegionId region) implements OwnershipEvent {}

  /**
   * A write took effect.
   *
   * @param writeToken token of the write
   * @param rowVersion new version of the row
   */
  record OwnerWritten(String writeToken, long rowVersion) implements OwnershipEvent {}

  /**
   * A write had no effect because its condition did not hold.
   *
   * @param writeToken token of the write
   * @param current the current row
   */
  record OwnerWriteConflicted(String writeToken, OwnerRow current) implements OwnershipEvent {}

  /**
   * A write got no usable answer.
   *
   * @param writeToken token of the write
   * @param maybeApplied whether it may have taken effect
   */
  record OwnerWriteFailed(String writeToken, boolean maybeApplied) implements OwnershipEvent {}

  /**
   * A worker or node refused a command because it has seen a higher epoch.
   *
   * @param region the region
   * @param highestEpoch the highest epoch that it has seen
   */
  record EpochRefused(RegionId region, long highestEpoch) implements OwnershipEvent {}

  /** This node begins a planned stop: it releases all regions and takes no more. */
  record ReleaseRequested() implements OwnershipEvent {}
}
