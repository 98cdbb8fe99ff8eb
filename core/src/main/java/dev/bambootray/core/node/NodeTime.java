package dev.bambootray.core.node;

/** The time of the event that is being handled. */
final class NodeTime {
  private long nowMs;

  long nowMs() {
    return nowMs;
  }

  /** Moves on; time never goes back even if the clock of the machine does. */
  void advance(long toMs) {
    nowMs = Math.max(nowMs, toMs);
  }
}
