package dev.bambootray.daemon.jobs;

/**
 * Decides how long a call waits for a busy store before its caller is sent away.
 *
 * <p>This suits a store that refuses all calls for some seconds while callers keep coming and may
 * repeat their calls only a few times: a call that waits goes on as soon as the store serves again.
 * The wait is no longer than the time for which a refused caller would stay away, so that a caller
 * of a node that alone is refused reaches another node in good time.
 */
final class StoreWaitPolicy {
  /** Longest wait of a call over all its attempts, as long as callers are told to stay away. */
  static final long MAX_WAIT_MS = 1_000;

  /** Pause before an attempt that the store has refused is repeated. */
  static final long RETRY_MS = 200;

  /** Limit of waiting calls, which bounds their memory and the burst when the store is back. */
  static final int MAX_WAITING = 256;

  private StoreWaitPolicy() {}

  /**
   * Returns how long a call may still wait, 0 if its caller must be sent away.
   *
   * @param nowMs current time
   * @param startMs when the call arrived
   * @param endMs when its caller gives up
   */
  static long waitMs(long nowMs, long startMs, long endMs) {
    long leftMs = Math.min(startMs + MAX_WAIT_MS, endMs - CallTimeouts.MIN_CALL_MS) - nowMs;
    return Math.max(0, leftMs);
  }
}
