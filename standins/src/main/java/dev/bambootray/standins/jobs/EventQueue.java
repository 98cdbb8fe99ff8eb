package dev.bambootray.standins.jobs;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; ties run in insertion order. */
final class EventQueue {
  private record Due(long atMs, long order, Runnable action) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
  private long order;

  void add(long atMs, Runnable action) {
    due.add(new Due(atMs, order++, action));
  }

  /** Runs all actions that are due. */
  void runUntil(long nowMs) {
    while (!due.isEmpty() && due.peek().atMs() <= nowMs) {
      due.remove().action().run();
    }
  }
}
