package dev.bambootray.jobs.reach;

/**
 * Decides whether a node calls the store directly or through another node.
 *
 * <p>The store may reject some nodes, or be unreachable from them, while it serves the others;
 * these relay the calls. When no other node reaches the store either, relaying pauses, so that an
 * outage of the store does not multiply the calls.
 */
public final class StoreRouteSelector {
  /** Minimum delay before a call is hedged; a round trip between regions takes 45 ms. */
  private static final long MIN_HEDGE_DELAY_MS = 300;

  /** Multiple of the recent latency after which a direct call is hedged. */
  private static final int HEDGE_LATENCY_FACTOR = 4;

  /** Factor by which the longest recent latency decays with each answer. */
  private static final double LATENCY_DECAY = 0.8;

  /** Interval of direct calls that probe the store while it is reached through other nodes. */
  private static final long PROBE_INTERVAL_MS = 500;

  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 4_000;

  /** Route of a call to the store. */
  public enum Route {
    /** A direct call; another node is asked if it fails. */
    DIRECT,
    /** A call through another node, or a direct call if that fails. */
    PEER,
    /** Both at the same time, to find out whether direct calls succeed again. */
    BOTH
  }

  private boolean viaPeers;
  private long nextProbeMs;
  private double latencyMs;
  private long pauseMs = FIRST_PAUSE_MS;
  private long peersPausedUntilMs = Long.MIN_VALUE;

  /** Returns the route of the next call. */
  public synchronized Route next(long nowMs) {
    if (!viaPeers) {
      return Route.DIRECT;
    }
    if (nowMs < nextProbeMs) {
      return Route.PEER;
    }
    nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    return Route.BOTH;
  }

  /** Returns whether other nodes may be asked, which is paused after they have failed. */
  public synchronized boolean mayAskPeers(long nowMs) {
    return nowMs >= peersPausedUntilMs;
  }

  /** Returns the time after which an unanswered direct call is also sent through another node. */
  public synchronized long hedgeDelayMs() {
    return Math.max(MIN_HEDGE_DELAY_MS, (long) (HEDGE_LATENCY_FACTOR * latencyMs));
  }

  /**
   * Records that the store answered a direct call.
   *
   * @param tookMs latency of the call
   */
  public synchronized void onDirectAnswer(long tookMs) {
    pauseMs = FIRST_PAUSE_MS;
    latencyMs = Math.max((double) tookMs, latencyMs * LATENCY_DECAY);
    viaPeers = false;
  }

  /**
   * Records that another node got an answer and this node did not.
   *
   * @return whether calls have switched from the direct route to other nodes
   */
  public synchronized boolean onPeerAnswer(long nowMs) {
    pauseMs = FIRST_PAUSE_MS;
    if (viaPeers) {
      return false;
    }
    viaPeers = true;
    nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    return true;
  }

  /**
   * Records that no other node got an answer.
   *
   * @return whether this is the first such failure since the store last answered
   */
  public synchronized boolean onPeersFailed(long nowMs) {
    if (nowMs < peersPausedUntilMs) {
      return false; // A concurrent call has already recorded the failure.
    }
    boolean first = pauseMs == FIRST_PAUSE_MS;
    viaPeers = false;
    peersPausedUntilMs = nowMs + pauseMs;
    pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    return first;
  }

  /** Returns whether the store is reached through other nodes. */
  public synchronized boolean isViaPeers() {
    return viaPeers;
  }
}
