package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.PeerConnectionPools;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.ports.JobHintSender;

/** Sends hints to other nodes; a lost hint does no harm, since the store's feed has the change. */
public final class PeerHintSender implements JobHintSender {
  private static final long CALL_TIMEOUT_MS = 600;

  private final PeerConnectionPools peers;
  private final PeerSelector order;

  /**
   * Creates a sender.
   *
   * @param peers connections to other nodes
   * @param order finds the address of a node
   */
  public PeerHintSender(PeerConnectionPools peers, PeerSelector order) {
    this.peers = peers;
    this.order = order;
  }

  @Override
  public void send(String node, Hint hint) {
    order
        .find(node)
        .ifPresent(
            peer -> {
              var unused =
                  peers.send(
                      peer.address(),
                      Request.post(RelayProtocol.HINT_PATH, RelayProtocol.write(hint)),
                      CALL_TIMEOUT_MS);
            });
  }
}
