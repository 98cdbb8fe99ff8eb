package dev.bambootray.bench.routing;

import java.util.PriorityQueue;

/** Runs actions in the order of their simulated times. */
final class EventLoop {
  private record Scheduled(long atUs, long order, Runnable action)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Scheduled> events = new PriorityQueue<>();
  private long nowUs;
  private long order;

  long nowUs() {
    return nowUs;
  }

  void at(long atUs, Runnable action) {
    events.add(new Scheduled(Math.max(nowUs, atUs), order++, action));
  }

  void after(long delayUs, Runnable action) {
    at(nowUs + delayUs, action);
  }

  void runUntil(long endUs) {
    while (!events.isEmpty() && events.peek().atUs() <= endUs) {
      Scheduled next = events.remove();
      nowUs = next.atUs();
      next.action().run();
    }
    nowUs = endUs;
  }
}
