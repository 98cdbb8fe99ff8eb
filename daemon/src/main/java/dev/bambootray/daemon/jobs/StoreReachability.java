package dev.bambootray.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

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
  private List<CompletableFuture<Boolean>> waiting = new ArrayList<>();

  /** Records a call with a usable answer, and lets the waiting calls go on. */
  void answered() {
    List<CompletableFuture<Boolean>> released;
    synchronized (this) {
      failingSinceMs = NOT_FAILING;
      released = waiting;
      waiting = new ArrayList<>();
    }
    released.forEach(wait -> wait.complete(true));
  }

  /**
   * Returns a future that completes with true when the store answers again, at once if it does. A
   * caller that waits no longer completes it itself. It is false if too many calls are waiting.
   */
  synchronized CompletableFuture<Boolean> awaitAnswer() {
    if (failingSinceMs == NOT_FAILING) {
      return CompletableFuture.completedFuture(true);
    }
    waiting.removeIf(CompletableFuture::isDone);
    if (waiting.size() >= StoreWaitPolicy.MAX_WAITING) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    waiting.add(wait);
    return wait;
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
