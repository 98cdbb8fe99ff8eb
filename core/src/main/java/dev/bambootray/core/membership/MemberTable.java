package dev.bambootray.core.membership;

import static dev.bambootray.core.membership.MembershipTimes.DEAD_AFTER_SUSPECT_MS;
import static dev.bambootray.core.membership.MembershipTimes.FORGET_DEAD_MS;
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

/** The known states of all nodes and the rules by which a state replaces another. */
final class MemberTable {
  private final Map<NodeId, MemberState> states = new TreeMap<>();
  private final Map<NodeId, Clocks> clocks = new HashMap<>();
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

  /** Returns this node and all others that are not dead. */
  List<MemberState> present() {
    return states.values().stream().filter(state -> state.status() != MemberStatus.DEAD).toList();
  }

  /** Returns dead members and nodes known only from the table; each may have come back. */
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
    clocks.values().forEach(clock -> clock.postpone(byMs));
  }

  /** Begins the time within which a node must answer. */
  void startWatching(NodeId node, long nowMs) {
    clock(node, nowMs).lastAnswerMs = nowMs;
  }

  void answered(NodeId node, long nowMs) {
    clock(node, nowMs).lastAnswerMs = nowMs;
  }

  /**
   * Returns whether the connection to a node is to be replaced because that node, which was reached
   * on its own connection, takes this one for failed; at most once in the time to a suspicion.
   */
  boolean isUnheardBy(NodeId node, Gossip told, long nowMs) {
    boolean accused =
        told.members().stream()
            .filter(state -> state.node().equals(self.node()))
            .map(MemberState::status)
            .anyMatch(status -> status == MemberStatus.SUSPECT || status == MemberStatus.DEAD);
    Clocks clock = clock(node, nowMs);
    if (!accused || nowMs - clock.renewedConnectionMs < SUSPECT_AFTER_MS) {
      return false;
    }
    clock.renewedConnectionMs = nowMs;
    return true;
  }

  /** Takes over a state told by the node itself; another node at its address is gone. */
  void meet(MemberState origin, long nowMs) {
    merge(origin, nowMs);
    candidates.remove(origin.node());
    for (MemberState other : members()) {
      if (!other.node().equals(origin.node())
          && other.peerPort() == origin.peerPort()
          && other.host().equals(origin.host())) {
        replaced(other.node(), nowMs);
      }
    }
  }

  /** Marks a node dead because another one answers under its address. */
  void replaced(NodeId node, long nowMs) {
    candidates.remove(node);
    MemberState state = states.get(node);
    if (state != null && !node.equals(self.node()) && state.status() != MemberStatus.DEAD) {
      put(withStatus(state, MemberStatus.DEAD), nowMs);
    }
  }

  void merge(MemberState told, long nowMs) {
    if (told.node().equals(self.node())) {
      refute(told);
      return;
    }
    MemberState known = states.get(told.node());
    if (known == null ? told.status() != MemberStatus.DEAD : isNewer(told, known)) {
      put(told, nowMs);
    }
  }

  void leave() {
    self = withIncarnation(withStatus(self, MemberStatus.LEAVING), self.incarnation() + 1);
    states.put(self.node(), self);
    changed.add(self.node());
  }

  /** Suspects the watched nodes that did not answer in time and returns them. */
  List<MemberState> suspectSilent(Set<NodeId> watched, long nowMs) {
    List<MemberState> silent = new ArrayList<>();
    for (MemberState state : members()) {
      boolean trusted =
          state.status() == MemberStatus.ALIVE || state.status() == MemberStatus.LEAVING;
      if (trusted
          && watched.contains(state.node())
          && nowMs - clock(state.node(), nowMs).lastAnswerMs >= SUSPECT_AFTER_MS) {
        MemberState suspect = withStatus(state, MemberStatus.SUSPECT);
        put(suspect, nowMs);
        silent.add(suspect);
      }
    }
    return silent;
  }

  /** Declares dead the nodes that did not refute a suspicion in time. */
  void buryUnrefuted(long nowMs) {
    for (MemberState state : members()) {
      if (state.status() == MemberStatus.SUSPECT
          && nowMs - clock(state.node(), nowMs).statusSinceMs >= DEAD_AFTER_SUSPECT_MS) {
        put(withStatus(state, MemberStatus.DEAD), nowMs);
      }
    }
  }

  /** Takes over the rows of the table and returns the dead members whose row is gone. */
  List<NodeId> readRows(List<MemberState> rows, long nowMs) {
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
    List<NodeId> gone = new ArrayList<>();
    for (MemberState state : members()) {
      if (state.status() == MemberStatus.DEAD && !listed.contains(state.node())) {
        states.remove(state.node());
        clocks.remove(state.node());
        gone.add(state.node());
      }
    }
    return gone;
  }

  List<NodeId> longDeadAndUnlisted(List<MembershipEvent.VmSighting> vms, long nowMs) {
    Set<NodeId> listed = new HashSet<>();
    vms.forEach(vm -> listed.add(vm.node()));
    return states.values().stream()
        .filter(state -> state.status() == MemberStatus.DEAD && !listed.contains(state.node()))
        .map(MemberState::node)
        .filter(node -> nowMs - clock(node, nowMs).statusSinceMs >= FORGET_DEAD_MS)
        .toList();
  }

  private void refute(MemberState told) {
    boolean wrong =
        told.incarnation() > self.incarnation()
            || (told.incarnation() == self.incarnation()
                && (told.status() == MemberStatus.SUSPECT || told.status() == MemberStatus.DEAD));
    if (wrong) {
      self = withIncarnation(self, told.incarnation() + 1);
      states.put(self.node(), self);
      changed.add(self.node());
    }
  }

  private void put(MemberState state, long nowMs) {
    MemberState known = states.put(state.node(), state);
    Clocks clock = clock(state.node(), nowMs);
    if (known == null || known.status() != state.status()) {
      clock.statusSinceMs = nowMs;
    }
    if (state.status() == MemberStatus.ALIVE || state.status() == MemberStatus.LEAVING) {
      clock.lastAnswerMs = nowMs;
    }
    changed.add(state.node());
  }

  private Clocks clock(NodeId node, long nowMs) {
    return clocks.computeIfAbsent(node, key -> new Clocks(nowMs));
  }

  /** At the same incarnation the worse news holds; only a higher incarnation refutes it. */
  private static boolean isNewer(MemberState told, MemberState known) {
    return told.incarnation() != known.incarnation()
        ? told.incarnation() > known.incarnation()
        : severity(told.status()) > severity(known.status());
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

  private static final class Clocks {
    private long lastAnswerMs;
    private long statusSinceMs;
    private long renewedConnectionMs = Long.MIN_VALUE / 2;

    private Clocks(long nowMs) {
      lastAnswerMs = nowMs;
      statusSinceMs = nowMs;
    }

    private void postpone(long byMs) {
      lastAnswerMs += byMs;
      statusSinceMs += byMs;
    }
  }
}
