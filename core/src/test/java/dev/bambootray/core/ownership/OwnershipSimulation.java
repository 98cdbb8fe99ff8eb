package dev.bambootray.core.ownership;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates several nodes and one table by a seeded loop, with delayed and lost answers. */
final class OwnershipSimulation {
  private static final long TICK_MS = 50;
  private static final long STORE_DELAY_MS = 10;

  private final UniformRandomProvider random;
  private final Set<RegionId> regions;
  private final Map<NodeId, Node> nodes = new TreeMap<>();
  private final Map<RegionId, OwnerRow> table = new TreeMap<>();
  private final Set<NodeId> cutOff = new HashSet<>();
  private final PriorityQueue<Answer> answers =
      new PriorityQueue<>(Comparator.comparingLong(Answer::atMs).thenComparingLong(Answer::number));
  private double lostAnswers;
  private boolean tableUnavailable;
  private long number;
  long nowMs = 1_000_000;
  long conflicts;
  long writes;
  private final List<String> gained = new ArrayList<>();
  final List<String> log = new ArrayList<>();

  OwnershipSimulation(long seed, int regionCount, int nodeCount) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    regions = new HashSet<>();
    for (int i = 0; i < regionCount; i++) {
      regions.add(RegionId.of("r" + i));
    }
    for (int i = 0; i < nodeCount; i++) {
      start("n" + i, "r" + i % regionCount);
    }
    membersChanged();
  }

  void start(String name, String region) {
    MemberState state = member(name, region, MemberStatus.ALIVE);
    Node node = new Node(state, RegionOwnership.create(state, random));
    nodes.put(state.node(), node);
    perform(node, node.ownership.handle(new OwnershipEvent.RegionsDeclared(regions), nowMs));
  }

  private MemberState member(String name, String region, MemberStatus status) {
    return new MemberState(
        NodeId.of(name),
        RegionId.of(region),
        FailureDomainId.of("d"),
        "127.0.0.1",
        1,
        2,
        nowMs,
        status);
  }

  /** Reports a stopped node as dead to all running nodes. */
  void declareDead(String name, String region) {
    membersChanged(List.of(member(name, region, MemberStatus.DEAD)));
  }

  /** Replaces a node's process by a new one under the same name. */
  void restart(String name) {
    start(name, nodes.get(NodeId.of(name)).state.region().value());
    membersChanged();
  }

  /** Returns the region and epoch of each claim that more than one process gained. */
  List<String> epochsGainedTwice() {
    Set<String> seen = new HashSet<>();
    return gained.stream().filter(claim -> !seen.add(claim)).toList();
  }

  void stop(String name) {
    nodes.remove(NodeId.of(name));
  }

  void membersChanged() {
    membersChanged(List.of());
  }

  private void membersChanged(List<MemberState> others) {
    List<MemberState> members = new ArrayList<>(others);
    nodes.values().forEach(node -> members.add(node.state));
    for (Node node : List.copyOf(nodes.values())) {
      deliver(node, new OwnershipEvent.MembersChanged(members));
    }
  }

  void pause(String name, long forMs) {
    nodes.get(NodeId.of(name)).pausedUntilMs = nowMs + forMs;
  }

  void cutOff(String name, boolean cut) {
    if (cut) {
      cutOff.add(NodeId.of(name));
    } else {
      cutOff.remove(NodeId.of(name));
    }
  }

  void tableUnavailable(boolean away) {
    tableUnavailable = away;
  }

  void loseAnswers(double rate) {
    lostAnswers = rate;
  }

  void post(String name, OwnershipEvent event) {
    deliver(nodes.get(NodeId.of(name)), event);
  }

  OwnershipSimulation run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs++;
      while (!answers.isEmpty() && answers.peek().atMs() <= nowMs) {
        Answer next = answers.poll();
        Node node = nodes.get(next.node());
        if (node != null) {
          deliver(node, next.event());
        }
      }
      if (nowMs % TICK_MS == 0) {
        List.copyOf(nodes.values()).forEach(node -> deliver(node, new OwnershipEvent.Tick()));
      }
    }
    return this;
  }

  List<Ownership> owned(String name) {
    return nodes.get(NodeId.of(name)).ownership.owned();
  }

  /** Returns the claims of all running nodes by region. */
  Map<RegionId, List<Ownership>> claims() {
    Map<RegionId, List<Ownership>> claims = new TreeMap<>();
    for (Node node : nodes.values()) {
      for (Ownership claim : node.ownership.owned()) {
        claims.computeIfAbsent(claim.region(), region -> new ArrayList<>()).add(claim);
      }
    }
    return claims;
  }

  boolean eachRegionHasOneOwner() {
    return claims().size() == regions.size()
        && claims().values().stream().allMatch(list -> list.size() == 1);
  }

  OwnerRow row(String region) {
    return table.getOrDefault(RegionId.of(region), OwnerRow.absent(RegionId.of(region)));
  }

  private void deliver(Node node, OwnershipEvent event) {
    if (nowMs < node.pausedUntilMs) {
      node.waiting.add(event);
      return;
    }
    List<OwnershipEvent> events = new ArrayList<>(node.waiting);
    node.waiting.clear();
    events.add(event);
    events.forEach(next -> perform(node, node.ownership.handle(next, nowMs)));
  }

  private void perform(Node node, List<OwnershipEffect> effects) {
    NodeId id = node.state.node();
    boolean unreachable = tableUnavailable || cutOff.contains(id);
    for (OwnershipEffect effect : effects) {
      if (effect instanceof OwnershipEffect.ReadOwners) {
        answer(
            id,
            unreachable
                ? new OwnershipEvent.OwnersReadFailed()
                : new OwnershipEvent.OwnersRead(List.copyOf(table.values())));
      } else if (effect instanceof OwnershipEffect.ReadOwner read) {
        answer(
            id,
            unreachable
                ? new OwnershipEvent.OwnerReadFailed(read.region())
                : new OwnershipEvent.OwnerRead(row(read.region().value())));
      } else if (effect instanceof OwnershipEffect.WriteOwner write) {
        write(id, write, unreachable);
      } else {
        if (effect instanceof OwnershipEffect.OwnershipGained gain) {
          gained.add(gain.ownership().region() + " " + gain.ownership().epoch());
        }
        log.add(nowMs + " " + id + " " + effect);
      }
    }
  }

  private void write(NodeId id, OwnershipEffect.WriteOwner write, boolean unreachable) {
    if (unreachable) {
      answer(id, new OwnershipEvent.OwnerWriteFailed(write.writeToken(), false));
      return;
    }
    writes++;
    OwnerRow current = row(write.row().region().value());
    OwnershipEvent result;
    if (current.rowVersion() == write.row().rowVersion()) {
      OwnerRow row = write.row();
      long version = row.rowVersion() + 1;
      table.put(
          row.region(),
          new OwnerRow(row.region(), row.owner(), row.epoch(), row.expiresAtMs(), version));
      result = new OwnershipEvent.OwnerWritten(write.writeToken(), version);
    } else {
      conflicts++;
      result = new OwnershipEvent.OwnerWriteConflicted(write.writeToken(), current);
    }
    boolean lost = random.nextDouble() < lostAnswers;
    answer(id, lost ? new OwnershipEvent.OwnerWriteFailed(write.writeToken(), true) : result);
  }

  private void answer(NodeId node, OwnershipEvent event) {
    answers.add(new Answer(nowMs + STORE_DELAY_MS, ++number, node, event));
  }

  private record Answer(long atMs, long number, NodeId node, OwnershipEvent event) {}

  private static final class Node {
    private final MemberState state;
    private final RegionOwnership ownership;
    private final List<OwnershipEvent> waiting = new ArrayList<>();
    private long pausedUntilMs;

    private Node(MemberState state, RegionOwnership ownership) {
      this.state = state;
      this.ownership = ownership;
    }
  }
}
