package dev.bambootray.documents;

/**
 * A TCP address.
 *
 * @param host IP address or host name
 * @param port TCP port, 1 to 65,535
 */
public record HostPort(String host, int port) {

  /** Returns the form {@code host:port}, with brackets around an IPv6 address. */
  @Override
  public String toString() {
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
  }
}
