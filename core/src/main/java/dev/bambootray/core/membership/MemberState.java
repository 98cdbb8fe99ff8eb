package dev.bambootray.core.membership;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;

/**
 * The known state of a node.
 *
 * @param node the node
 * @param region its region
 * @param failureDomain its failure domain
 * @param host its IP address
 * @param peerPort TCP port for other nodes
 * @param httpPort TCP port for callers and operators
 * @param incarnation raised by the node itself to refute a suspicion; of two states of a node the
 *     one with the higher incarnation is newer
 * @param status its status
 */
public record MemberState(
    NodeId node,
    RegionId region,
    FailureDomainId failureDomain,
    String host,
    int peerPort,
    int httpPort,
    long incarnation,
    MemberStatus status) {}
