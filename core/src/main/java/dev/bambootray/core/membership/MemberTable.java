package dev.bambootray.core.membership;

import static dev.bambootray.core.membership.MembershipTimes.DEAD_AFTER_SUSPECT_MS;
import static dev.bambootray.core.membership.MembershipTimes.REMOVE_DEAD_AFTER_MS;
import static dev.bambootray.core.membership.MembershipTimes.SUSPECT_AFTER_MS;

import dev.bambootray.core.model.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Holds the known states of all nodes and decides which state replaces another. */
final class MemberTable {
  private final Map<NodeId, MemberState> states = new TreeMap<>();
  private final Map<NodeId, MemberTimers> timers = new HashMap<>();
  private final Map<NodeId, MemberState> candidates = new TreeMap<>();
  private final Set<NodeId> changed = new LinkedHashSet<>();
  private MemberState self;

  MemberTable(MemberState self) {
    this.self = self;
    states.put(self.node(), self);
  }

  MemberState self() {
    return self;
  }

  int size() {
    return states.size();
  }

  Map<NodeId, MemberState> states() {
    return states;
  }

  List<MemberState> members() {
    return List.copyOf(states.values());
  }

  /** Returns all members that are not dead, including this node. */
  List<MemberState> present() {
    return states.values().stream().filter(state -> state.status() != MemberStatus.DEAD).toList();
  }

  /**
   * Returns dead members and nodes known only from the table; each of them may be running again.
   */
  List<MemberState> absent() {
    List<MemberState> absent = new ArrayList<>(candidates.values());
    states.values().stream()
        .filter(state -> state.status() == MemberStatus.DEAD)
        .filter(state -> !candidates.containsKey(state.node()))
        .forEach(absent::add);
    return absent;
  }

  Optional<MemberState> find(NodeId node) {
    return Optional.ofNullable(states.get(node));
  }

  boolean isFirstAlive() {
    return states.values().stream()
        .filter(state -> state.status() == MemberStatus.ALIVE)
        .findFirst()
        .map(state -> state.node().equals(self.node()))
        .orElse(false);
  }

  List<MemberState> takeChanges() {
    List<MemberState> taken = new ArrayList<>();
    for (NodeId node : changed) {
      MemberState state = states.get(node);
      if (state != null) {
        taken.add(state);
      }
    }
    changed.clear();
    return taken;
  }

  void postponeDeadlines(long byMs) {
    timers.values().forEach(memberTimers -> memberTimers.postpone(byMs));
  }

  /** Starts the period within which a node must answer. */
  void startWatching(NodeId node, long nowMs) {
    timersOf(node, nowMs).lastAnswerMs = nowMs;
  }

  void answered(NodeId node, long nowMs) {
    timersOf(node, nowMs).lastAnswerMs = nowMs;
  }

  /**
   * Returns whether the connection to a node is to be replaced. That is so if the node's probes
   * arrive but its gossip says that this node is suspected or dead: it receives nothing from this
   * node. Returns true at most once per {@link MembershipTimes#SUSPECT_AFTER_MS}.
   */
  boolean shouldReplaceConnection(NodeId node, Gossip received, long nowMs) {
    boolean suspected =
        received.members().stream()
            .filter(state -> state.node().equals(self.node()))
            .map(MemberState::status)
            .anyMatch(status -> status == MemberStatus.SUSPECT || status == MemberStatus.DEAD);
    MemberTimers memberTimers = timersOf(node, nowMs);
    if (!suspected || nowMs - memberTimers.renewedConnectionMs < SUSPECT_AFTER_MS) {
      return false;
    }
    memberTimers.renewedConnectionMs = nowMs;
    return true;
  }

  /**
   * Merges a state that the node itself sent; any other node at the same address is marked dead.
   */
  void mergeFromOrigin(MemberState origin, long nowMs) {
    merge(origin, nowMs);
    candidates.remove(origin.node());
    for (MemberState other : members()) {
      if (!other.node().equals(origin.node())
          && other.peerPort() == origin.peerPort()
          && other.host().equals(origin.host())) {
        markReplaced(other.node(), nowMs);
      }
    }
  }

  /** Marks a node dead because another one answers at its address. */
  void markReplaced(NodeId node, long nowMs) {
    candidates.remove(node);
    MemberState state = states.get(node);
    if (state != null && !node.equals(self.node()) && state.status() != MemberStatus.DEAD) {
      put(withStatus(state, MemberStatus.DEAD), nowMs);
    }
  }

  void merge(MemberState received, long nowMs) {
    if (received.node().equals(self.node())) {
      refute(received);
      return;
    }
    MemberState known = states.get(received.node());
    if (known == null ? received.status() != MemberStatus.DEAD : isNewer(received, known)) {
      put(received, nowMs);
    }
  }

  void leave() {
    self = withIncarnation(withStatus(self, MemberStatus.LEAVING), self.incarnation() + 1);
    states.put(self.node(), self);
    changed.add(self.node());
  }

  /** Marks the watched nodes that did not answer in time as suspected and returns them. */
  List<MemberState> suspectUnresponsive(Set<NodeId> watched, long nowMs) {
    List<MemberState> silent = new ArrayList<>();
    for (MemberState state : members()) {
      boolean trusted =
          state.status() == MemberStatus.ALIVE || state.status() == MemberStatus.LEAVING;
      if (trusted
          && watched.contains(state.node())
          && nowMs - timersOf(state.node(), nowMs).lastAnswerMs >= SUSPECT_AFTER_MS) {
        MemberState suspect = withStatus(state, MemberStatus.SUSPECT);
        put(suspect, nowMs);
        silent.add(suspect);
      }
    }
    return silent;
  }

  /** Marks the nodes that did not refute a suspicion in time as dead. */
  void declareUnrefutedDead(long nowMs) {
    for (MemberState state : members()) {
      if (state.status() == MemberStatus.SUSPECT
          && nowMs - timersOf(state.node(), nowMs).statusSinceMs >= DEAD_AFTER_SUSPECT_MS) {
        put(withStatus(state, MemberStatus.DEAD), nowMs);
      }
    }
  }

  /** Applies the rows of the table; removes and returns the dead members that have no row. */
  List<NodeId> applyRows(List<MemberState> rows, long nowMs) {
    Set<NodeId> listed = new HashSet<>();
    candidates.clear();
    for (MemberState row : rows) {
      listed.add(row.node());
      MemberState known = states.get(row.node());
      boolean unknown = known == null;
      boolean returned =
          known != null
              && known.status() == MemberStatus.DEAD
              && row.incarnation() > known.incarnation();
      if (unknown || returned) {
        candidates.put(row.node(), row);
      }
    }
    List<NodeId> removed = new ArrayList<>();
    for (MemberState state : members()) {
      if (state.status() == MemberStatus.DEAD && !listed.contains(state.node())) {
        states.remove(state.node());
        timers.remove(state.node());
        removed.add(state.node());
      }
    }
    return removed;
  }

  List<NodeId> findRemovable(List<MembershipEvent.ListedVm> vms, long nowMs) {
    Set<NodeId> listed = new HashSet<>();
    vms.forEach(vm -> listed.add(vm.node()));
    return states.values().stream()
        .filter(state -> state.status() == MemberStatus.DEAD && !listed.contains(state.node()))
        .map(MemberState::node)
        .filter(node -> nowMs - timersOf(node, nowMs).statusSinceMs >= REMOVE_DEAD_AFTER_MS)
        .toList();
  }

  private void refute(MemberState received) {
    boolean mustRefute =
        received.incarnation() > self.incarnation()
            || (received.incarnation() == self.incarnation()
                && (received.status() == MemberStatus.SUSPECT
                    || received.status() == MemberStatus.DEAD));
    if (mustRefute) {
      self = withIncarnation(self, received.incarnation() + 1);
      states.put(self.node(), self);
      changed.add(self.node());
    }
  }

  private void put(MemberState state, long nowMs) {
    MemberState known = states.put(state.node(), state);
    MemberTimers memberTimers = timersOf(state.node(), nowMs);
    if (known == null || known.status() != state.status()) {
      memberTimers.statusSinceMs = nowMs;
    }
    if (state.status() == MemberStatus.ALIVE || state.status() == MemberStatus.LEAVING) {
      memberTimers.lastAnswerMs = nowMs;
    }
    changed.add(state.node());
  }

  private MemberTimers timersOf(NodeId node, long nowMs) {
    return timers.computeIfAbsent(node, key -> new MemberTimers(nowMs));
  }

  /** At the same incarnation the more severe status wins; only a higher incarnation refutes it. */
  private static boolean isNewer(MemberState received, MemberState known) {
    return received.incarnation() != known.incarnation()
        ? received.incarnation() > known.incarnation()
        : severity(received.status()) > severity(known.status());
  }

  private static int severity(MemberStatus status) {
    return switch (status) {
      case ALIVE -> 0;
      case LEAVING -> 1;
      case SUSPECT -> 2;
      case DEAD -> 3;
    };
  }

  private static MemberState withStatus(MemberState state, MemberStatus status) {
    return new MemberState(
        state.node(),
        state.region(),
        state.failureDomain(),
        state.host(),
        state.peerPort(),
        state.httpPort(),
        state.incarnation(),
        status);
  }

  private static MemberState withIncarnation(MemberState state, long incarnation) {
    return new MemberState(
        state.node(),
        state.region(),
        state.failureDomain(),
        state.host(),
        state.peerPort(),
        state.httpPort(),
        incarnation,
        state.status());
  }

  private static final class MemberTimers {
    private long lastAnswerMs;
    private long statusSinceMs;
    private long renewedConnectionMs = Long.MIN_VALUE / 2;

    private MemberTimers(long nowMs) {
      lastAnswerMs = nowMs;
      statusSinceMs = nowMs;
    }

    private void postpone(long byMs) {
      lastAnswerMs += byMs;
      statusSinceMs += byMs;
    }
  }
}
