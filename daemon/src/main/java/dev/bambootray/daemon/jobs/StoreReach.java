package dev.bambootray.daemon.jobs;

/**
 * Decides whether the store is known to be out of a node's reach.
 *
 * <p>It answers callers that keep coming to a node whose connections to the store have gone silent:
 * their calls cannot be served here, so they are turned away at once and reach another node,
 * instead of waiting until their time is over. A call that is refused or reset and followed by a
 * good one does not count as an outage.
 */
final class StoreReach {
  /** An outage is known after this time; the next periodic read follows a failed one sooner. */
  private static final long KNOWN_AFTER_MS = 600;

  private static final long NONE = -1;

  private long failingSinceMs = NONE;

  /** Notes a call with a usable answer. */
  synchronized void answered() {
    failingSinceMs = NONE;
  }

  /**
   * Notes a call without a usable answer.
   *
   * @param sentMs when it was sent
   */
  synchronized void failed(long sentMs) {
    if (failingSinceMs == NONE) {
      failingSinceMs = sentMs;
    }
  }

  /** Returns whether the newest call had a usable answer. */
  synchronized boolean isAnswering() {
    return failingSinceMs == NONE;
  }

  /** Returns whether no call has had a usable answer for some time. */
  synchronized boolean isLost(long nowMs) {
    return failingSinceMs != NONE && nowMs - failingSinceMs > KNOWN_AFTER_MS;
  }
}
