package dev.bambootray.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Figures that tell whether the machine was too busy, with a clock of the test. */
final class LoopLagTest {
  private long nowMs;

  @Test
  void lagIsTheLargestDelayOfATimer() {
    Deque<Long> delays = new ArrayDeque<>();
    Deque<Runnable> timers = new ArrayDeque<>();
    LoopLag lag =
        new LoopLag(
            (delayMs, action) -> {
              delays.add(delayMs);
              timers.add(action);
            },
            () -> nowMs);
    lag.start();
    for (int lateMs : new int[] {3, 120, 0, 7}) {
      nowMs += delays.remove() + lateMs;
      timers.remove().run();
    }
    assertEquals(120, lag.largestMs());
  }

  @Test
  void longestTimeEndsWhenItHoldsNoMore() {
    LongestTime time = new LongestTime();
    time.note(true, 1_000);
    time.note(false, 1_400);
    time.note(true, 5_000);
    time.note(true, 5_100);
    time.note(false, 5_200);
    time.note(false, 9_000);
    assertEquals(400, time.longestMs());
  }
}
