package dev.bambootray.core.ownership;

import static dev.bambootray.core.ownership.RegionLeaseTimes.FULL_SHARE_DELAY_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.MAX_RANK;
import static dev.bambootray.core.ownership.RegionLeaseTimes.RANK_DELAY_MS;
import static dev.bambootray.core.ownership.RegionLeaseTimes.REMOTE_DELAY_MS;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Ranks the live nodes as owners of a region and derives how long each waits before it tries. */
final class OwnerRanking {
  private final List<MemberState> alive;
  private final Map<NodeId, Integer> ownedCount = new HashMap<>();
  private final int fairShare;

  private OwnerRanking(List<MemberState> alive, Iterable<RegionLease> leases, int regionCount) {
    this.alive = alive;
    for (RegionLease lease : leases) {
      if (lease.row.owner() != null) {
        ownedCount.merge(lease.row.owner(), 1, Integer::sum);
      }
    }
    int nodes = Math.max(1, alive.size());
    this.fairShare = Math.max(1, (regionCount + nodes - 1) / nodes);
  }

  static OwnerRanking of(List<MemberState> members, Iterable<RegionLease> leases, int regionCount) {
    List<MemberState> alive =
        members.stream().filter(member -> member.status() == MemberStatus.ALIVE).toList();
    return new OwnerRanking(alive, leases, regionCount);
  }

  /**
   * Returns how long the given node waits before it tries to take a free region.
   *
   * <p>Better candidates wait less, so that nodes rarely write the same row at the same time.
   */
  long delayMs(NodeId self, RegionId selfRegion, RegionId region, UniformRandomProvider random) {
    long delay = random.nextLong(RANK_DELAY_MS);
    delay += RANK_DELAY_MS * Math.min(MAX_RANK, rank(self, selfRegion, region));
    if (!selfRegion.equals(region) && hasLocalNode(region)) {
      delay += REMOTE_DELAY_MS;
    }
    if (owned(self) >= fairShare) {
      delay += FULL_SHARE_DELAY_MS;
    }
    return delay;
  }

  /** Returns whether another node would be a better owner of a region than the given one. */
  boolean shouldMove(NodeId self, RegionId selfRegion, RegionId region, int heldBySelf) {
    boolean local = selfRegion.equals(region);
    boolean tooMany = heldBySelf > fairShare;
    return alive.stream()
        .filter(member -> !member.node().equals(self))
        .filter(member -> owned(member.node()) < fairShare)
        .anyMatch(member -> member.region().equals(region) ? !local || tooMany : tooMany && !local);
  }

  private boolean hasLocalNode(RegionId region) {
    return alive.stream().anyMatch(member -> member.region().equals(region));
  }

  private int rank(NodeId self, RegionId selfRegion, RegionId region) {
    int rank = 0;
    long own = weight(self, region);
    for (MemberState member : alive) {
      boolean sameChoice =
          member.region().equals(region) == selfRegion.equals(region)
              && !member.node().equals(self);
      if (sameChoice && comesBefore(member.node(), region, self, own)) {
        rank++;
      }
    }
    return rank;
  }

  private boolean comesBefore(NodeId other, RegionId region, NodeId self, long ownWeight) {
    int byCount = Integer.compare(owned(other), owned(self));
    if (byCount != 0) {
      return byCount < 0;
    }
    long otherWeight = weight(other, region);
    return otherWeight != ownWeight ? otherWeight > ownWeight : other.compareTo(self) < 0;
  }

  private int owned(NodeId node) {
    return ownedCount.getOrDefault(node, 0);
  }

  /** Returns the rendezvous hash, which spreads regions over nodes without shared state. */
  private static long weight(NodeId node, RegionId region) {
    long mixed = (node.value() + "/" + region.value()).hashCode() * 0x9E3779B97F4A7C15L;
    return mixed ^ (mixed >>> 32);
  }
}
