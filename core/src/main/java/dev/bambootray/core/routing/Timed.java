package dev.bambootray.core.routing;

/** Something with a due time; it knows its place in the {@link TimerHeap} so it can be removed. */
abstract class Timed {
  long dueAtMs;
  int heapIndex = -1;
}
