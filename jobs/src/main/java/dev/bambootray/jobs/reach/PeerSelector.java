package dev.bambootray.jobs.reach;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the nodes that are asked to relay a call to the store.
 *
 * <p>The store may reject a third of the nodes. The node that relayed the last answer is asked
 * first and nodes that recently failed are asked last; otherwise nodes in the same failure domain
 * and region are preferred. Requests of different nodes are spread by hash over equal candidates.
 */
public final class PeerSelector {
  /** Maximum nodes asked for one call; with a third of them cut off, 4% of calls reach none. */
  private static final int MAX_CANDIDATES = 3;

  /** Time for which a node that failed to relay a call is asked after the others. */
  private static final long AVOID_AFTER_FAILURE_MS = 2_000;

  private final Peer self;
  private final Map<String, Long> failedMs = new HashMap<>();
  private List<Peer> peers = List.of();
  private String lastAnswering = "";

  /**
   * Creates a selector without peers.
   *
   * @param self this node
   */
  public PeerSelector(Peer self) {
    this.self = self;
  }

  /** Replaces the nodes that are known to be alive; this node is left out. */
  public synchronized void update(List<Peer> alive) {
    peers = alive.stream().filter(peer -> !peer.name().equals(self.name())).toList();
    failedMs.keySet().retainAll(peers.stream().map(Peer::name).toList());
  }

  /** Returns a node by its name, if it is known to be alive. */
  public synchronized Optional<Peer> find(String name) {
    return peers.stream().filter(peer -> peer.name().equals(name)).findFirst();
  }

  /** Returns the nodes to ask for a call, in order of preference. */
  public synchronized List<Peer> candidates(long nowMs) {
    List<Peer> sorted = new ArrayList<>(peers);
    sorted.sort(
        Comparator.comparing((Peer peer) -> isAvoided(peer, nowMs))
            .thenComparing(peer -> !peer.name().equals(lastAnswering))
            .thenComparing(peer -> !peer.failureDomain().equals(self.failureDomain()))
            .thenComparing(peer -> !peer.region().equals(self.region()))
            .thenComparingInt(peer -> (self.name() + '/' + peer.name()).hashCode()));
    return List.copyOf(sorted.subList(0, Math.min(MAX_CANDIDATES, sorted.size())));
  }

  /** Records that a node relayed an answer of the store. */
  public synchronized void onAnswered(Peer peer) {
    lastAnswering = peer.name();
    failedMs.remove(peer.name());
  }

  /** Records that a node relayed no answer. */
  public synchronized void onFailed(Peer peer, long nowMs) {
    failedMs.put(peer.name(), nowMs);
  }

  private boolean isAvoided(Peer peer, long nowMs) {
    Long failed = failedMs.get(peer.name());
    return failed != null && nowMs - failed < AVOID_AFTER_FAILURE_MS;
  }
}
