package dev.bambootray.core.node;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/** Sends messages to nodes, including this one, and to the present owners of regions. */
final class PeerMessageRouter {
  private final NodeId self;
  private final Outbox outbox;
  private final Function<NodeId, @Nullable MemberState> members;
  private final Map<RegionId, Ownership> owners = new HashMap<>();
  private final Queue<PeerMessage> loopback = new ArrayDeque<>();

  PeerMessageRouter(NodeId self, Outbox outbox, Function<NodeId, @Nullable MemberState> members) {
    this.self = self;
    this.outbox = outbox;
    this.members = members;
  }

  /**
   * Stores the owner of a region if its epoch is newer than the known one; returns whether it is.
   */
  boolean updateOwner(Ownership ownership) {
    Ownership known = owners.get(ownership.region());
    if (known != null && known.epoch() >= ownership.epoch()) {
      return false;
    }
    owners.put(ownership.region(), ownership);
    return true;
  }

  @Nullable Ownership ownerOf(RegionId region) {
    return owners.get(region);
  }

  /** Sends a message that is built for the owner's epoch; returns false if no owner is known. */
  boolean toOwner(RegionId region, LongFunction<PeerMessage> message) {
    Ownership owner = owners.get(region);
    return owner != null && toNode(owner.owner(), message.apply(owner.epoch()));
  }

  /** Sends a message to a node; returns false if its address is not known. */
  boolean toNode(NodeId node, PeerMessage message) {
    if (node.equals(self)) {
      loopback.add(message);
      return true;
    }
    MemberState member = members.apply(node);
    if (member == null) {
      return false;
    }
    outbox.add(new NodeEffect.SendPeer(member, message));
    return true;
  }

  /** Returns the next message that this node sent to itself, or null. */
  @Nullable PeerMessage pollLoopback() {
    return loopback.poll();
  }
}
