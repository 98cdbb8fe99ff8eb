package dev.bambootray.soak;

import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/** Measures how late the timers of an event loop run at most; confined to that loop. */
final class LoopLag {
  private static final long INTERVAL_MS = 50;

  private final BiConsumer<Long, Runnable> later;
  private final LongSupplier clock;
  private long largestMs;

  /**
   * Creates a measurement that has not begun.
   *
   * @param later runs an action on the loop after some milliseconds
   * @param clock a steady clock in milliseconds
   */
  LoopLag(BiConsumer<Long, Runnable> later, LongSupplier clock) {
    this.later = later;
    this.clock = clock;
  }

  /** Begins to measure, until the loop ends. */
  void start() {
    long dueMs = clock.getAsLong() + INTERVAL_MS;
    later.accept(
        INTERVAL_MS,
        () -> {
          largestMs = Math.max(largestMs, clock.getAsLong() - dueMs);
          start();
        });
  }

  long largestMs() {
    return largestMs;
  }
}
