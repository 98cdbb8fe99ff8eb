package dev.bambootray.bench.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in virtual time, in order of their time and of their scheduling. */
final class VirtualClock {
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::number));
  private long nowMs = 1_000_000;
  private long number;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    due.add(new Due(nowMs + delayMs, ++number, action));
  }

  void every(long intervalMs, Runnable action) {
    after(
        intervalMs,
        () -> {
          action.run();
          every(intervalMs, action);
        });
  }

  void run(long forMs) {
    long untilMs = nowMs + forMs;
    while (!due.isEmpty() && due.element().atMs() <= untilMs) {
      Due next = due.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    nowMs = untilMs;
  }

  private record Due(long atMs, long number, Runnable action) {}
}
