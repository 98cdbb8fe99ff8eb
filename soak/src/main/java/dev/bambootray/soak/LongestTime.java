package dev.bambootray.soak;

/** The longest time for which something held without a break, by what was seen now and then. */
final class LongestTime {
  private long sinceMs;
  private boolean held;
  private long longestMs;

  /** Notes whether it holds at a time. */
  void note(boolean holds, long nowMs) {
    if (holds && !held) {
      sinceMs = nowMs;
    }
    if (held) {
      longestMs = Math.max(longestMs, nowMs - sinceMs);
    }
    held = holds;
  }

  long longestMs() {
    return longestMs;
  }
}
