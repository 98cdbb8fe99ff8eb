package dev.bambootray.core.node;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/**
 * State of a node at one moment.
 *
 * @param notReadyReason why it takes no new work, or empty if it does
 * @param draining whether it is being stopped
 * @param configurationVersion version of the declaration in force
 * @param configurationCurrent whether that version was confirmed recently enough
 * @param storeAvailable whether the table answered its last call
 * @param owned regions that it owns
 * @param members all members as it sees them
 * @param loads load of all regions as it knows it
 * @param openRequests requests whose callers wait on this node
 */
public record NodeSnapshot(
    String notReadyReason,
    boolean draining,
    long configurationVersion,
    boolean configurationCurrent,
    boolean storeAvailable,
    List<Ownership> owned,
    List<MemberState> members,
    List<RegionLoad> loads,
    int openRequests) {

  /** Copies the lists. */
  public NodeSnapshot {
    owned = List.copyOf(owned);
    members = List.copyOf(members);
    loads = List.copyOf(loads);
  }

  /** Returns whether the node takes new work. */
  public boolean isReady() {
    return notReadyReason.isEmpty();
  }
}
