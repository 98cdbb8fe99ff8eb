package dev.bambootray.daemon.jobs;

/**
 * Decides from the outcomes of calls whether the store is unreachable for this node.
 *
 * <p>Callers keep coming to a node whose connections to the store have gone silent. Their calls
 * cannot be served here and would wait until their deadline, so they are refused at once and can be
 * sent to another node. A call that is refused or reset and followed by a successful one does not
 * count as an outage.
 */
final class StoreReachability {
  /**
   * Calls must fail for this long to count as an outage. It is longer than the time from a failed
   * read to the next periodic one.
   */
  private static final long OUTAGE_AFTER_MS = 600;

  private static final long NOT_FAILING = -1;

  private long failingSinceMs = NOT_FAILING;

  /** Records a call with a usable answer. */
  synchronized void answered() {
    failingSinceMs = NOT_FAILING;
  }

  /**
   * Records a call without a usable answer.
   *
   * @param sentMs when the call was sent
   */
  synchronized void failed(long sentMs) {
    if (failingSinceMs == NOT_FAILING) {
      failingSinceMs = sentMs;
    }
  }

  /** Returns whether the latest call got a usable answer. */
  synchronized boolean isAnswering() {
    return failingSinceMs == NOT_FAILING;
  }

  /** Returns whether calls have failed for long enough to count as an outage. */
  synchronized boolean isOutage(long nowMs) {
    return failingSinceMs != NOT_FAILING && nowMs - failingSinceMs > OUTAGE_AFTER_MS;
  }
}
