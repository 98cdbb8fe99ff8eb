package dev.bambootray.core.membership;

import static java.util.Comparator.comparing;
import static java.util.Comparator.comparingInt;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Arranges the members in a ring and selects those that this node probes. The order is the same on
 * all nodes that know the same members.
 *
 * <p>Neighbours belong to different failure domains as far as possible, so that after the loss of a
 * domain each lost node is still probed by a live one.
 */
final class ProbeRing {
  /** Number of probed successors that are not suspected. */
  static final int SUCCESSORS = 3;

  /** Maximum number of nodes probed in one round, suspected ones included; bounds the traffic. */
  static final int MAX_TARGETS = 6;

  private final List<MemberState> order;
  private final int own;

  private ProbeRing(List<MemberState> order, int own) {
    this.order = order;
    this.own = own;
  }

  /** Returns the ring of the given members, of which one is the given node. */
  static ProbeRing of(Collection<MemberState> members, NodeId self) {
    List<MemberState> byId = new ArrayList<>(members);
    byId.sort(comparing(MemberState::node));
    Map<FailureDomainId, Integer> seen = new HashMap<>();
    Map<NodeId, Integer> rank = new HashMap<>();
    for (MemberState member : byId) {
      rank.put(member.node(), seen.merge(member.failureDomain(), 1, Integer::sum));
    }
    byId.sort(
        comparingInt((MemberState member) -> rank.getOrDefault(member.node(), 0))
            .thenComparing(MemberState::failureDomain)
            .thenComparing(MemberState::node));
    int own = 0;
    while (own < byId.size() - 1 && !byId.get(own).node().equals(self)) {
      own++;
    }
    return new ProbeRing(byId, own);
  }

  /**
   * Returns the members to probe: the next three that are not suspected, and the suspected ones
   * before them.
   */
  List<MemberState> targets() {
    List<MemberState> targets = new ArrayList<>();
    int trusted = 0;
    for (int i = 1; i < order.size() && trusted < SUCCESSORS && targets.size() < MAX_TARGETS; i++) {
      MemberState member = order.get((own + i) % order.size());
      targets.add(member);
      if (member.status() != MemberStatus.SUSPECT) {
        trusted++;
      }
    }
    return targets;
  }

  /**
   * Returns the members to which urgent changes are forwarded.
   *
   * <p>They are the successors 3i, 3i+1 and 3i+2 of position i in a generalised de Bruijn graph:
   * with three messages per node, a change reaches all n nodes in at most ⌈log₃ n⌉ steps.
   */
  List<MemberState> relays() {
    List<MemberState> relays = new ArrayList<>();
    for (int i = 0; i < SUCCESSORS; i++) {
      int position = (int) ((3L * own + i) % order.size());
      if (position != own && !relays.contains(order.get(position))) {
        relays.add(order.get(position));
      }
    }
    return relays;
  }
}
