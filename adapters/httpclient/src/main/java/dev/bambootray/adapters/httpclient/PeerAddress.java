package dev.bambootray.adapters.httpclient;

import io.netty.util.NetUtil;
import java.util.regex.Pattern;

/** Checks addresses of peers, which are an IPv4 address and a port. */
public final class PeerAddress {
  private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
  private static final int MAX_PORT = 65_535;

  /** First number of the multicast addresses; those above it are not assigned to hosts either. */
  private static final int FIRST_MULTICAST = 224;

  private PeerAddress() {}

  /** Returns whether a host may listen at the address; names are not resolved and not valid. */
  public static boolean isValid(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 0 || !NetUtil.isValidIpV4Address(address.substring(0, colon))) {
      return false;
    }
    String port = address.substring(colon + 1);
    int network = Integer.parseInt(address.substring(0, address.indexOf('.')));
    return network > 0
        && network < FIRST_MULTICAST
        && PORT.matcher(port).matches()
        && Integer.parseInt(port) > 0
        && Integer.parseInt(port) <= MAX_PORT;
  }
}
