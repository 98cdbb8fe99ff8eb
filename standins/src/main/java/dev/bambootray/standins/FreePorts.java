package dev.bambootray.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out TCP ports on loopback, below those that the system hands out itself: the port of a node
 * that is down must not go to another listener.
 */
public final class FreePorts {
  private static final int FIRST = 20_000;
  private static final int COUNT = 12_000;

  /** Several processes at a time begin at different ports. */
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() % 100) * 120);

  private FreePorts() {}

  /** Returns a port that nobody listens on and that was not handed out before. */
  public static int next() {
    for (int tries = 0; tries < COUNT; tries++) {
      int port = FIRST + NEXT.getAndIncrement() % COUNT;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port from " + FIRST + " to " + (FIRST + COUNT - 1));
  }

  /** Returns the first of two adjacent ports, both as from {@link #next}. */
  public static int nextPair() {
    int first = next();
    int second = next();
    while (second != first + 1) {
      first = second;
      second = next();
    }
    return first;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false; // Somebody listens there; the next one is tried.
    }
  }
}
