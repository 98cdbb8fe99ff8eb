package dev.bambootray.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Two processes beside each other must not get the same ports, whether nodes are up or down. */
final class PortRangesTest {
  private static final int FIRST = 1_000;
  private static final int RANGES = 4;
  private static final int SIZE = 10;

  /** Ports that somebody listens on. */
  private final Set<Integer> listening = new HashSet<>();

  private PortRanges process(long pid) {
    return new PortRanges(
        FIRST,
        RANGES,
        SIZE,
        pid,
        new PortRanges.Ports() {
          @Override
          public boolean hold(int port) {
            return listening.add(port);
          }

          @Override
          public boolean isFree(int port) {
            return !listening.contains(port);
          }
        });
  }

  private static Set<Integer> take(PortRanges ranges, int count) {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < count; i++) {
      assertTrue(ports.add(ranges.next()), () -> "handed out twice, after " + ports);
    }
    return ports;
  }

  @Nested
  final class BesideEachOther {
    @Test
    void processesGetDifferentPortsThoughNobodyListensOnThem() {
      PortRanges one = process(7);
      PortRanges other = process(7 + RANGES); // It would begin with the same range.
      Set<Integer> ports = take(one, SIZE + 3);
      ports.addAll(take(other, SIZE + 3));
      ports.addAll(take(one, 3));
      assertEquals(2 * (SIZE + 3) + 3, ports.size());
    }

    @Test
    void oneThatGetsNoRangeIsRefused() {
      take(process(1), RANGES * (SIZE - 1));
      PortRanges late = process(2);
      String message = assertThrows(IllegalStateException.class, late::reserve).getMessage();
      assertEquals(
          "other processes listen on the guards of all port ranges, every 10th port from 1000",
          message);
    }
  }

  @Nested
  final class Alone {
    @Test
    void leavesOutPortsInUseAndGuards() {
      listening.add(FIRST + 2);
      Set<Integer> ports = take(process(0), SIZE - 2);
      assertTrue(ports.stream().noneMatch(listening::contains), ports::toString);
    }

    @Test
    void handsOutPortsAgainOnlyWhenAllRangesAreUsedUp() {
      PortRanges alone = process(3);
      Set<Integer> ports = take(alone, RANGES * (SIZE - 1));
      assertTrue(ports.contains(alone.next()));
    }
  }
}
