package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.Peers;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.ports.JobHints;

/** Sends hints to other nodes; a lost hint does no harm, since the store's feed has the change. */
public final class PeerHints implements JobHints {
  private static final long CALL_MS = 600;

  private final Peers peers;
  private final PeerSelector order;

  /**
   * Creates a sender.
   *
   * @param peers connections to other nodes
   * @param order finds the address of a node
   */
  public PeerHints(Peers peers, PeerSelector order) {
    this.peers = peers;
    this.order = order;
  }

  @Override
  public void tell(String node, Hint hint) {
    order
        .find(node)
        .ifPresent(
            peer -> {
              var unused =
                  peers.send(
                      peer.address(),
                      Request.post(RelayCalls.HINT_PATH, RelayCalls.write(hint)),
                      CALL_MS);
            });
  }
}
