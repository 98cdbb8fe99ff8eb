package dev.bambootray.core.configuration;

import dev.bambootray.core.model.NodeId;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the versions of the declaration that the table and the other members hold, and when each
 * was asked for.
 */
final class VersionTracker {
  /** Maximum age of a read or an exchange that can confirm a node's version as the newest. */
  static final long CURRENT_FOR_MS = 4_000;

  private final NodeId self;
  private final Map<NodeId, Exchange> exchanges = new HashMap<>();
  private Set<NodeId> members;
  private long tableAskedAtMs = Long.MIN_VALUE / 2;
  private boolean tableAnswered;
  private boolean established;
  private long highest;
  private NodeId highestHolder;

  VersionTracker(NodeId self) {
    this.self = self;
    this.members = Set.of(self);
    this.highestHolder = self;
  }

  Set<NodeId> members() {
    return members;
  }

  void setMembers(Set<NodeId> changed) {
    members = changed;
    exchanges.keySet().retainAll(changed);
  }

  int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns the highest version that any node or the table is known to hold. */
  long highest() {
    return highest;
  }

  NodeId highestHolder() {
    return highestHolder;
  }

  void observed(NodeId peer, long version) {
    if (version > highest) {
      highest = version;
      highestHolder = peer;
    }
  }

  void exchanged(NodeId peer, long version, long askedAtMs) {
    observed(peer, version);
    Exchange known = exchanges.get(peer);
    if (members.contains(peer) && (known == null || known.askedAtMs() <= askedAtMs)) {
      exchanges.put(peer, new Exchange(version, askedAtMs));
    }
  }

  void tableRead(long version, long askedAtMs) {
    tableAnswered = true;
    tableAskedAtMs = Math.max(tableAskedAtMs, askedAtMs);
    observed(self, version);
  }

  boolean isTableRecent(long nowMs, long withinMs) {
    return tableAnswered && nowMs - tableAskedAtMs <= withinMs;
  }

  /**
   * Updates and returns whether this process holds every version that an earlier process on this
   * node confirmed.
   *
   * <p>That is established once it holds the version of the table or that of a majority of members
   * without itself. Until then it must not count towards a majority, neither its own nor that of
   * another node: it may hold an older version than the one that its earlier process helped to
   * accept.
   */
  boolean updateEstablished(long heldVersion, long nowMs) {
    boolean upToDate = heldVersion >= highest && heldVersion > 0;
    established |=
        upToDate && (isTableRecent(nowMs, CURRENT_FOR_MS) || recentExchanges(nowMs) >= majority());
    return established;
  }

  boolean isEstablished() {
    return established;
  }

  boolean isCurrent(long heldVersion, long nowMs) {
    return heldVersion >= highest
        && heldVersion > 0
        && (isTableRecent(nowMs, CURRENT_FOR_MS)
            || recentExchanges(nowMs) + (established ? 1 : 0) >= majority());
  }

  /** Counts the other members that replied recently with an established version. */
  private long recentExchanges(long nowMs) {
    return exchanges.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(self))
        .map(Map.Entry::getValue)
        .filter(exchange -> exchange.version() > 0)
        .filter(exchange -> nowMs - exchange.askedAtMs() <= CURRENT_FOR_MS)
        .count();
  }

  private record Exchange(long version, long askedAtMs) {}
}
