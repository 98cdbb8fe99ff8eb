package dev.bambootray.core.node;

/** Tracks the progress of a planned stop. */
final class DrainState {
  private boolean begun;
  private boolean ended;

  /** Begins the stop; returns false if it had already begun. */
  boolean begin() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  void end() {
    ended = true;
  }

  boolean isBegun() {
    return begun;
  }

  boolean isEnded() {
    return ended;
  }
}
