package dev.bambootray.ports.api;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/**
 * The state of a node and its view of the other nodes.
 *
 * @param node the node
 * @param ready whether it takes new work
 * @param notReadyReason why it takes no new work, or empty
 * @param draining whether it is being stopped
 * @param configurationVersion version of the declaration in force
 * @param configurationCurrent whether that version was confirmed recently enough
 * @param storeAvailable whether the table answered its last call
 * @param owned regions that this node owns
 * @param members all members, as this node sees them
 * @param loads load of each region, as last reported to this node
 * @param openRequests requests whose callers wait on this node
 */
public record NodeStatus(
    NodeId node,
    boolean ready,
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
  public NodeStatus {
    owned = List.copyOf(owned);
    members = List.copyOf(members);
    loads = List.copyOf(loads);
  }
}
