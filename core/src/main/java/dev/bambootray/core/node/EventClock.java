package dev.bambootray.core.node;

/** Holds the time of the event that is being handled; it never decreases. */
final class EventClock {
  private long nowMs;

  long nowMs() {
    return nowMs;
  }

  /** Advances the time; an earlier time, as after a change of the system clock, is ignored. */
  void advance(long toMs) {
    nowMs = Math.max(nowMs, toMs);
  }
}
