package dev.bambootray.core.routing;

/** An entry of a {@link TimerHeap} with its due time and its index, by which it can be removed. */
abstract class TimerEntry {
  long dueAtMs;
  int heapIndex = -1;
}
