package dev.bambootray.core.message;

import dev.bambootray.core.membership.Gossip;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.Explanation;
import java.util.List;

/** A message between nodes. */
public sealed interface PeerMessage {

  /** Returns the node that sent the message. */
  NodeId sender();

  /**
   * Submits a request to the owner of a region.
   *
   * @param sender the entry node, which waits for the answer
   * @param region the region
   * @param epoch the owner's epoch as the sender knows it
   * @param spec the request
   * @param recordVersion version of its record in the table, or 0 if it has none
   */
  record SubmitRequest(
      NodeId sender, RegionId region, long epoch, RequestSpec spec, long recordVersion)
      implements PeerMessage {}

  /**
   * Asks the owner of a region to send the answer of an open request to the sender as well.
   *
   * @param sender the entry node
   * @param region the region
   * @param epoch the owner's epoch as the sender knows it
   * @param key the request
   */
  record AwaitRequest(NodeId sender, RegionId region, long epoch, RequestKey key)
      implements PeerMessage {}

  /**
   * Rejects a message whose receiver is not the owner that the message named; it had no effect.
   *
   * @param sender the receiver of the rejected message
   * @param region the region
   * @param currentEpoch highest epoch of the region that the sender of this message knows
   * @param keys the requests in the rejected message
   */
  record OwnerMismatch(NodeId sender, RegionId region, long currentEpoch, List<RequestKey> keys)
      implements PeerMessage {}

  /**
   * Delivers an answer to an entry node.
   *
   * @param sender the owner of the region that served the request
   * @param answer the answer
   */
  record RequestAnswered(NodeId sender, Answer answer) implements PeerMessage {}

  /**
   * Cancels requests.
   *
   * @param sender the entry node
   * @param region the region
   * @param epoch the owner's epoch as the sender knows it
   * @param keys the requests
   */
  record CancelRequests(NodeId sender, RegionId region, long epoch, List<RequestKey> keys)
      implements PeerMessage {}

  /**
   * Asks the owner of a region for an explanation of a request's state.
   *
   * @param sender the node that asks
   * @param region the region
   * @param epoch the owner's epoch as the sender knows it
   * @param correlation number that the reply repeats
   * @param key the request
   */
  record ExplainRequest(
      NodeId sender, RegionId region, long epoch, long correlation, RequestKey key)
      implements PeerMessage {}

  /**
   * Answers {@link ExplainRequest}.
   *
   * @param sender the owner
   * @param correlation number in the request for the explanation
   * @param explanation the explanation
   */
  record ExplainReply(NodeId sender, long correlation, Explanation explanation)
      implements PeerMessage {}

  /**
   * Stops or resumes new work on a worker as requested by an operator.
   *
   * @param sender the node that received the operator's request
   * @param region region of the worker
   * @param epoch the owner's epoch as the sender knows it
   * @param worker the worker
   * @param drain true to stop new work, false to resume
   */
  record DrainWorker(NodeId sender, RegionId region, long epoch, WorkerId worker, boolean drain)
      implements PeerMessage {}

  /**
   * Checks that a node is alive.
   *
   * @param sender the probing node
   * @param sequence number that the reply repeats
   * @param origin state of the sender
   * @param gossip gossip of the sender
   */
  record Probe(NodeId sender, long sequence, MemberState origin, Gossip gossip)
      implements PeerMessage {}

  /**
   * Answers {@link Probe}.
   *
   * @param sender the probed node
   * @param sequence number of the probe
   * @param gossip gossip of the sender
   */
  record ProbeAck(NodeId sender, long sequence, Gossip gossip) implements PeerMessage {}

  /**
   * Sends a declaration to a node that may not hold it yet.
   *
   * @param sender a node that holds the declaration
   * @param version its version
   * @param declarationJson its text
   */
  record ConfigurationOffer(NodeId sender, long version, String declarationJson)
      implements PeerMessage {}

  /**
   * Confirms that a declaration is in force on the sender.
   *
   * @param sender the node
   * @param version the version
   */
  record ConfigurationConfirm(NodeId sender, long version) implements PeerMessage {}

  /**
   * Asks for the declaration that the receiver holds.
   *
   * @param sender the node that asks
   * @param heldVersion the version that the sender holds, 0 for none
   */
  record ConfigurationFetch(NodeId sender, long heldVersion) implements PeerMessage {}
}
