package dev.bambootray.documents;

import dev.bambootray.documents.json.ObjectCursor;

/**
 * Addresses of the workers of a rack: one host with consecutive ports, or consecutive hosts with
 * one port.
 *
 * @param firstHost host of the first worker
 * @param firstPort port of the first worker
 * @param consecutiveHosts whether the hosts count up rather than the ports
 */
record WorkerAddresses(String firstHost, int firstPort, boolean consecutiveHosts) {
  private static final long LAST_IPV4 = (1L << 32) - 1;
  private static final int MAX_PORT = 65_535;

  /** Reads {@code host} with {@code firstPort}, or {@code firstHost} with {@code port}. */
  static WorkerAddresses read(ObjectCursor rack, int count) {
    boolean hosts = rack.has("firstHost");
    boolean ports = rack.has("firstPort");
    if (hosts && ports) {
      rack.reject("firstPort", "firstHost and firstPort", "one of the two");
    }
    if (hosts) {
      WorkerAddresses read =
          new WorkerAddresses(Addresses.ip(rack, "firstHost"), rack.port("port"), true);
      if (!Addresses.isIpv4(read.firstHost)
          || Addresses.ipv4Value(read.firstHost) + count - 1 > LAST_IPV4) {
        rack.reject(
            "firstHost", read.firstHost, "an IPv4 address with " + count + " hosts from it");
      }
      return read;
    }
    WorkerAddresses read =
        new WorkerAddresses(Addresses.ip(rack, "host"), rack.port("firstPort"), false);
    if (read.firstPort + count - 1 > MAX_PORT) {
      rack.reject("firstPort", "" + read.firstPort, "a port with " + count + " ports from it");
    }
    return read;
  }

  /** Returns the host of the worker at a position. */
  String host(int position) {
    return consecutiveHosts ? Addresses.ipv4After(firstHost, position) : firstHost;
  }

  /** Returns the port of the worker at a position. */
  int port(int position) {
    return consecutiveHosts ? firstPort : firstPort + position;
  }
}
