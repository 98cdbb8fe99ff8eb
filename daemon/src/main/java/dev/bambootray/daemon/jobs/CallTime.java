package dev.bambootray.daemon.jobs;

/**
 * The time that a caller gives to a call.
 *
 * @param startMs when the call arrived
 * @param endMs when its caller gives up
 */
record CallTime(long startMs, long endMs) {
  static CallTime startingNow(long timeMs) {
    long nowMs = JobNode.now().ms();
    return new CallTime(nowMs, nowMs + timeMs);
  }

  boolean isOver() {
    return leftMs() < CallTimeouts.MIN_CALL_MS;
  }

  long waitMs() {
    return StoreWaitPolicy.waitMs(JobNode.now().ms(), startMs, endMs);
  }

  long commitMs() {
    return Math.min(leftMs(), CallTimeouts.COMMIT_MS);
  }

  private long leftMs() {
    return endMs - JobNode.now().ms();
  }
}
