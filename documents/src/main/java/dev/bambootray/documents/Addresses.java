package dev.bambootray.documents;

import dev.bambootray.documents.json.Names;
import dev.bambootray.documents.json.ObjectCursor;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks addresses without asking a name server. */
final class Addresses {
  private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
  private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-fA-F:.]{2,45}");
  private static final Pattern HOST_NAME =
      Pattern.compile("[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\\.[A-Za-z0-9-]+)*");
  private static final Pattern PORT = Pattern.compile("[1-9]\\d{0,4}");
  private static final int MAX_HOST_CHARS = 253;

  private Addresses() {}

  /** Reads a required IP address; the loopback address after an error. */
  static String ip(ObjectCursor object, String key) {
    String host = object.text(key);
    if (isIp(host)) {
      return host;
    }
    if (!host.isEmpty()) {
      object.reject(key, "\"" + Names.abbreviate(host) + "\"", "an IP address");
    }
    return "127.0.0.1";
  }

  /** Returns whether the text is an IPv4 or IPv6 address. */
  static boolean isIp(String host) {
    return isIpv4(host) || isIpv6(host);
  }

  /** Returns whether the text is an IPv4 address. */
  static boolean isIpv4(String host) {
    return host.length() <= 15 && IPV4.matcher(host).matches();
  }

  private static boolean isIpv6(String host) {
    if (host.indexOf(':') < 0 || !IPV6_CHARACTERS.matcher(host).matches()) {
      return false;
    }
    try {
      // A text with a colon is never looked up as a name.
      return InetAddress.getByName(host) != null;
    } catch (UnknownHostException e) {
      return false;
    }
  }

  /** Returns whether the text is an IP address or a host name. */
  static boolean isHost(String host) {
    return host.length() <= MAX_HOST_CHARS && (isIp(host) || HOST_NAME.matcher(host).matches());
  }

  /** Returns the IPv4 address that lies the given number of addresses after the first one. */
  static String ipv4After(String first, int offset) {
    long value = ipv4Value(first) + offset;
    return ((value >> 24) & 255)
        + "."
        + ((value >> 16) & 255)
        + "."
        + ((value >> 8) & 255)
        + "."
        + (value & 255);
  }

  /** Returns the value of an IPv4 address as a number of 32 bits. */
  static long ipv4Value(String address) {
    long value = 0;
    for (String octet : address.split("\\.", -1)) {
      value = value * 256 + Integer.parseInt(octet);
    }
    return value;
  }

  /** Returns the address that the text {@code host:port} or {@code [ipv6]:port} names. */
  static Optional<HostPort> hostPort(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !PORT.matcher(text.substring(colon + 1)).matches()) {
      return Optional.empty();
    }
    String host = text.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]") && host.length() > 2;
    String bare = bracketed ? host.substring(1, host.length() - 1) : host;
    int port = Integer.parseInt(text.substring(colon + 1));
    boolean fits = isHost(bare) && bracketed == bare.indexOf(':') >= 0;
    return fits && port <= 65_535 ? Optional.of(new HostPort(bare, port)) : Optional.empty();
  }
}
