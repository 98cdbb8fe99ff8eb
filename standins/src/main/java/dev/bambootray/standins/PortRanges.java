package dev.bambootray.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides ports into ranges, each of which one process uses at a time: it holds the first port of a
 * range, its guard, and hands out the others. When a range is used up it takes a further one.
 */
final class PortRanges {
  /** The ports of a machine. */
  interface Ports {
    /** Listens on a port for the life of the process and returns false if somebody does already. */
    boolean hold(int port);

    /** Returns whether nobody listens on a port. */
    boolean isFree(int port);
  }

  private final int first;
  private final int ranges;
  private final int size;
  private final int start;
  private final Ports ports;

  /** Guards of the ranges that are held. */
  private final List<Integer> held = new ArrayList<>();

  /** The range in {@link #held} that ports come from, and the last offset that was tried. */
  private int current;

  private int offset;

  /**
   * Creates ranges of which none is held yet.
   *
   * @param first first port of the first range
   * @param ranges number of ranges
   * @param size number of ports of a range, with its guard
   * @param start number that differs by process; tells which range is tried first
   */
  PortRanges(int first, int ranges, int size, long start, Ports ports) {
    this.first = first;
    this.ranges = ranges;
    this.size = size;
    this.start = (int) (start % ranges);
    this.ports = ports;
  }

  /** Takes a range, unless one is held. */
  void reserve() {
    if (held.isEmpty()) {
      nextRange();
    }
  }

  /** Returns a port as {@link FreePorts#next} does. */
  int next() {
    for (int tries = 0; tries < ranges * size; tries++) {
      reserve();
      if (offset == size - 1) {
        nextRange();
      }
      offset++;
      int port = held.get(current) + offset;
      if (ports.isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port in the ranges that this process holds: " + held);
  }

  private void nextRange() {
    offset = 0;
    for (int i = 0; i < ranges; i++) {
      int guard = first + (start + i) % ranges * size;
      if (!held.contains(guard) && ports.hold(guard)) {
        held.add(guard);
        current = held.size() - 1;
        return;
      }
    }
    if (held.isEmpty()) {
      throw new IllegalStateException(
          "other processes listen on the guards of all port ranges, every "
              + size
              + "th port from "
              + first);
    }
    current = (current + 1) % held.size();
  }
}
