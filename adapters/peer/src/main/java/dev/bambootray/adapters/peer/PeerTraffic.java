package dev.bambootray.adapters.peer;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.ports.PeerNetwork.PeerAddress;

/** Learns of the traffic between nodes; called on traffic threads. */
public interface PeerTraffic {

  /** Ignores all traffic. */
  PeerTraffic IGNORED =
      new PeerTraffic() {
        @Override
        public void sent(PeerAddress peer, int sizeBytes) {}

        @Override
        public void received(NodeId peer, int sizeBytes) {}

        @Override
        public void dropped(PeerAddress peer, int sizeBytes) {}
      };

  /** A frame was handed to the connection to a peer. */
  void sent(PeerAddress peer, int sizeBytes);

  /** A frame arrived from a node. */
  void received(NodeId peer, int sizeBytes);

  /** A frame was dropped because the peer cannot be reached or its buffer is full. */
  void dropped(PeerAddress peer, int sizeBytes);
}
