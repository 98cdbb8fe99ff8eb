package dev.bambootray.core.routing;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * A binary heap of timers whose entries can be moved and removed in place, so that it holds no
 * entries of ended requests.
 */
final class TimerHeap {
  private @Nullable TimerEntry[] entries = new TimerEntry[64];
  private int size;

  /** Sets the due time of an entry, adding it if it is not in the heap. */
  void schedule(TimerEntry entry, long dueAtMs) {
    long before = entry.dueAtMs;
    entry.dueAtMs = dueAtMs;
    if (entry.heapIndex < 0) {
      if (size == entries.length) {
        entries = Arrays.copyOf(entries, size * 2);
      }
      place(entry, size++);
      siftUp(entry);
    } else if (dueAtMs < before) {
      siftUp(entry);
    } else {
      siftDown(entry);
    }
  }

  /** Removes an entry, if it is in the heap. */
  void cancel(TimerEntry entry) {
    int index = entry.heapIndex;
    if (index < 0) {
      return;
    }
    entry.heapIndex = -1;
    TimerEntry last = at(--size);
    entries[size] = null;
    if (last != entry) {
      place(last, index);
      siftUp(last);
      siftDown(last);
    }
  }

  /** Removes and returns an entry that is due, or returns null if none is. */
  @Nullable TimerEntry pollDue(long nowMs) {
    if (size == 0 || at(0).dueAtMs > nowMs) {
      return null;
    }
    TimerEntry first = at(0);
    cancel(first);
    return first;
  }

  private void siftUp(TimerEntry entry) {
    int index = entry.heapIndex;
    while (index > 0) {
      int parent = (index - 1) / 2;
      TimerEntry above = at(parent);
      if (above.dueAtMs <= entry.dueAtMs) {
        break;
      }
      place(above, index);
      index = parent;
    }
    place(entry, index);
  }

  private void siftDown(TimerEntry entry) {
    int index = entry.heapIndex;
    while (2 * index + 1 < size) {
      int child = 2 * index + 1;
      if (child + 1 < size && at(child + 1).dueAtMs < at(child).dueAtMs) {
        child++;
      }
      TimerEntry below = at(child);
      if (entry.dueAtMs <= below.dueAtMs) {
        break;
      }
      place(below, index);
      index = child;
    }
    place(entry, index);
  }

  private void place(TimerEntry entry, int index) {
    entries[index] = entry;
    entry.heapIndex = index;
  }

  private TimerEntry at(int index) {
    TimerEntry entry = entries[index];
    if (entry == null) {
      throw new IllegalStateException("no timer at " + index);
    }
    return entry;
  }
}
