package dev.bambootray.adapters.peer;

import dev.bambootray.ports.PeerNetwork.PeerAddress;

/** Emulated one-way latency of the link to a peer, for demos on one machine. */
@FunctionalInterface
public interface LinkLatency {

  /** No added latency. */
  LinkLatency NONE = peer -> 0;

  /** Returns the one-way latency to add in microseconds, 0 for none. */
  long oneWayMicros(PeerAddress peer);
}
