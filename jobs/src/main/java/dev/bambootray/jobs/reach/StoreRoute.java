package dev.bambootray.jobs.reach;

/**
 * Decides whether a node calls the store itself or through another node.
 *
 * <p>It answers a store that turns some nodes away, or is cut off from them, while it serves the
 * others: what the node alone cannot do, another node does for it. While no node is served nobody
 * is asked, so that an outage of the whole store does not multiply the calls.
 */
public final class StoreRoute {
  /** Least time that a direct call may take; the way between regions and back takes 45 ms. */
  private static final long LEAST_PATIENCE_MS = 300;

  /** A direct call that takes this many times as long as recent ones is taken for lost. */
  private static final int PATIENCE_FACTOR = 4;

  /** Share of the longest recent time that is kept with each answer. */
  private static final double LATENCY_KEPT = 0.8;

  /** Interval of direct calls while the store is reached through others. */
  private static final long PROBE_MS = 500;

  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long LONGEST_PAUSE_MS = 4_000;

  /** How a call reaches the store. */
  public enum Way {
    /** By itself; another node is asked if that fails. */
    DIRECT,
    /** Through another node, and by itself if that fails. */
    PEER,
    /** Both ways at once, to find out whether the direct one works again. */
    BOTH
  }

  private boolean viaPeers;
  private long nextProbeMs;
  private double latencyMs;
  private long pauseMs = FIRST_PAUSE_MS;
  private long peersPausedUntilMs = Long.MIN_VALUE;

  /** Returns how the next call is made. */
  public synchronized Way next(long nowMs) {
    if (!viaPeers) {
      return Way.DIRECT;
    }
    if (nowMs < nextProbeMs) {
      return Way.PEER;
    }
    nextProbeMs = nowMs + PROBE_MS;
    return Way.BOTH;
  }

  /** Returns whether other nodes are worth asking. */
  public synchronized boolean mayAskPeers(long nowMs) {
    return nowMs >= peersPausedUntilMs;
  }

  /** Returns how long a direct call may go unanswered before another node is asked as well. */
  public synchronized long patienceMs() {
    return Math.max(LEAST_PATIENCE_MS, (long) (PATIENCE_FACTOR * latencyMs));
  }

  /**
   * Notes that the store answered this node.
   *
   * @param tookMs how long it took
   */
  public synchronized void answeredDirectly(long tookMs) {
    pauseMs = FIRST_PAUSE_MS;
    latencyMs = Math.max((double) tookMs, latencyMs * LATENCY_KEPT);
    viaPeers = false;
  }

  /**
   * Notes that another node got an answer while this node has none.
   *
   * @return whether that is the first sign that this node is cut off
   */
  public synchronized boolean answeredByPeer(long nowMs) {
    pauseMs = FIRST_PAUSE_MS;
    if (viaPeers) {
      return false;
    }
    viaPeers = true;
    nextProbeMs = nowMs + PROBE_MS;
    return true;
  }

  /**
   * Notes that no other node could help.
   *
   * @return whether one could the last time, or none was asked before
   */
  public synchronized boolean peersFailed(long nowMs) {
    if (nowMs < peersPausedUntilMs) {
      return false; // Calls that were made at the same time fail together.
    }
    boolean first = pauseMs == FIRST_PAUSE_MS;
    viaPeers = false;
    peersPausedUntilMs = nowMs + pauseMs;
    pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
    return first;
  }

  /** Returns whether the store is reached through other nodes. */
  public synchronized boolean isViaPeers() {
    return viaPeers;
  }
}
