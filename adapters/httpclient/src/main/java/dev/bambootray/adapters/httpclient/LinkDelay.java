package dev.bambootray.adapters.httpclient;

/** Emulated one-way latency of the link to a peer, for demos on one machine. */
@FunctionalInterface
public interface LinkDelay {

  /** No added latency. */
  LinkDelay NONE = (host, port) -> 0;

  /**
   * Returns the one-way latency to add.
   *
   * @param host IP address of the peer
   * @param port TCP port of the peer
   * @return microseconds, 0 for none
   */
  long oneWayMicros(String host, int port);
}
