package dev.bambootray.core.membership;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.routing.RegionLoad;

/** An action that {@link Membership} requests; the caller carries it out. */
public sealed interface MembershipEffect {

  /**
   * Send a probe.
   *
   * @param target the probed node
   * @param probe the probe
   * @param freshConnection whether to close the present connection first and open a new one
   */
  record SendProbe(MemberState target, PeerMessage.Probe probe, boolean freshConnection)
      implements MembershipEffect {}

  /**
   * Answer a probe.
   *
   * @param target the probing node
   * @param ack the answer
   * @param freshConnection whether to close the present connection first and open a new one,
   *     because the probing node receives nothing on it
   */
  record SendProbeAck(MemberState target, PeerMessage.ProbeAck ack, boolean freshConnection)
      implements MembershipEffect {}

  /**
   * A node joined, or its state changed; even a dead node remains a member until {@link
   * MemberRemoved}.
   *
   * @param member its state
   */
  record MemberChanged(MemberState member) implements MembershipEffect {}

  /**
   * A dead node is no longer a member.
   *
   * @param node the node
   */
  record MemberRemoved(NodeId node) implements MembershipEffect {}

  /**
   * A node announced which version of the declaration it holds, without having been asked.
   *
   * @param peer the node
   * @param version its version, 0 for none
   */
  record VersionAnnounced(NodeId peer, long version) implements MembershipEffect {}

  /**
   * A node replied to a probe with the version of the declaration that it holds.
   *
   * @param peer the node
   * @param version its version, 0 for none
   * @param askedAtMs when the probe was sent; the version is not older
   */
  record VersionExchanged(NodeId peer, long version, long askedAtMs) implements MembershipEffect {}

  /**
   * A newer load of a region became known.
   *
   * @param load the load
   */
  record LoadLearned(RegionLoad load) implements MembershipEffect {}

  /** Read all rows {@code node/<id>}; reply with {@link MembershipEvent.NodeRowsRead}. */
  record ReadNodeRows() implements MembershipEffect {}

  /** Read the platform's list of VMs; reply with {@link MembershipEvent.VmListRead}. */
  record ReadVmList() implements MembershipEffect {}

  /**
   * Write the row {@code node/<id>} of this node without a condition.
   *
   * @param state the state to write
   */
  record WriteNodeRow(MemberState state) implements MembershipEffect {}

  /**
   * Delete the row {@code node/<id>} of a node that has stopped.
   *
   * @param node the node
   */
  record DeleteNodeRow(NodeId node) implements MembershipEffect {}

  /** The platform lists this node's own VM as leaving; begin a planned stop. */
  record OwnVmLeaving() implements MembershipEffect {}
}
