package dev.bambootray.documents;

import org.jspecify.annotations.Nullable;

/**
 * Where a node listens for other nodes.
 *
 * @param host IP address to listen on, under which other nodes reach the node
 * @param port TCP port to listen on
 * @param tls TLS files including the trust file, or null for plain TCP
 */
public record PeerSettings(String host, int port, @Nullable TlsSettings tls) {

  /** Returns plain TCP on loopback. */
  public static PeerSettings defaults() {
    return new PeerSettings("127.0.0.1", 7070, null);
  }
}
