package dev.bambootray.core.node;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/**
 * The state of a node at one moment, as shown to operators.
 *
 * @param notReadyReason why it accepts no new work, or empty if it does
 * @param draining whether a planned stop is in progress
 * @param configurationVersion version of the declaration in force
 * @param configurationCurrent whether that version was confirmed recently enough
 * @param storeAvailable whether the table answered its last call
 * @param owned regions that it owns
 * @param members all members with the states known to this node
 * @param loads latest known load of each region
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

  /** Returns whether the node accepts new work. */
  public boolean isReady() {
    return notReadyReason.isEmpty();
  }
}
