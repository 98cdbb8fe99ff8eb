package dev.bambootray.documents;

import org.jspecify.annotations.Nullable;

/**
 * Where a node listens for callers and operators.
 *
 * @param host IP address to listen on
 * @param port TCP port to listen on
 * @param tls TLS files, or null for plain HTTP
 */
public record HttpSettings(String host, int port, @Nullable TlsSettings tls) {

  /** Returns plain HTTP on loopback. */
  public static HttpSettings defaults() {
    return new HttpSettings("127.0.0.1", 8080, null);
  }
}
