package dev.bambootray.core.node;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;

/**
 * The identity and addresses of a node, from its settings.
 *
 * @param node its name
 * @param region its region
 * @param failureDomain its failure domain
 * @param host its IP address
 * @param peerPort its TCP port for other nodes
 * @param httpPort its TCP port for callers
 * @param startedAtMs when it started, in milliseconds since the epoch; its first incarnation
 */
public record NodeIdentity(
    NodeId node,
    RegionId region,
    FailureDomainId failureDomain,
    String host,
    int peerPort,
    int httpPort,
    long startedAtMs) {

  /** Returns the state that the node announces to others when it starts. */
  public MemberState toMember() {
    return new MemberState(
        node, region, failureDomain, host, peerPort, httpPort, startedAtMs, MemberStatus.ALIVE);
  }
}
