package dev.bambootray.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Hands out TCP ports on loopback, below those that the system hands out itself: the port of a node
 * that is down must not go to another listener, of this process or of another one.
 */
public final class FreePorts {
  private static final int FIRST = 20_000;
  private static final int COUNT = 12_000;

  /** More than a soak with the largest number of nodes uses at a time, with the guard. */
  private static final int RANGE = 200;

  private static final PortRanges RANGES =
      new PortRanges(FIRST, COUNT / RANGE, RANGE, ProcessHandle.current().pid(), new Loopback());

  private FreePorts() {}

  /**
   * Takes a range of ports, unless this process has one.
   *
   * @throws IllegalStateException if other processes hold all ranges
   */
  public static synchronized void reserve() {
    RANGES.reserve();
  }

  /**
   * Returns a port that nobody listens on and that was not handed out before. Only when other
   * processes hold all ranges, ports of this process's first ranges are handed out again.
   *
   * @throws IllegalStateException if other processes hold all ranges
   */
  public static synchronized int next() {
    return RANGES.next();
  }

  /** Returns the first of two adjacent ports, both as from {@link #next}. */
  public static synchronized int nextPair() {
    int first = next();
    int second = next();
    while (second != first + 1) {
      first = second;
      second = next();
    }
    return first;
  }

  /** The ports of this machine; the system frees the guards when the process ends. */
  private static final class Loopback implements PortRanges.Ports {
    private final Set<ServerSocket> guards = new HashSet<>();

    @Override
    public boolean hold(int port) {
      try {
        guards.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        return true;
      } catch (IOException e) {
        return false; // Another process holds the range.
      }
    }

    @Override
    public boolean isFree(int port) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.isBound();
      } catch (IOException e) {
        return false; // Somebody listens there; the next one is tried.
      }
    }
  }
}
