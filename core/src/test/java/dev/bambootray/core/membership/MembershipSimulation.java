package dev.bambootray.core.membership;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates several memberships, from a seed, with delayed and lost messages between them. */
final class MembershipSimulation {
  private static final long TICK_MS = 50;

  private final UniformRandomProvider random;
  private final Map<NodeId, Node> nodes = new TreeMap<>();
  private final Map<NodeId, MemberState> rows = new TreeMap<>();
  private final Set<String> brokenConnections = new HashSet<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private BiPredicate<NodeId, NodeId> cut = (from, to) -> false;
  private double dropRate;
  private boolean tableUnavailable;
  private long delivered;
  private long sent;
  long nowMs = 1_000_000;
  final List<String> changes = new ArrayList<>();
  final Map<NodeId, Set<NodeId>> exchanged = new TreeMap<>();

  MembershipSimulation(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Adds nodes spread over three regions with three failure domains each. */
  MembershipSimulation withNodes(int count) {
    for (int i = 0; i < count; i++) {
      start("n" + i, i);
    }
    return this;
  }

  NodeId start(String name, int address) {
    NodeId node = NodeId.of(name);
    MemberState state =
        new MemberState(
            node,
            RegionId.of("r" + address % 3),
            FailureDomainId.of("d" + address % 9),
            "127.0.0." + address,
            7000,
            8000,
            nowMs,
            MemberStatus.ALIVE);
    nodes.put(node, new Node(state, Membership.create(state, random)));
    return node;
  }

  void stop(String name) {
    nodes.remove(NodeId.of(name));
  }

  void pause(String name, long forMs) {
    nodes.get(NodeId.of(name)).pausedUntilMs = nowMs + forMs;
  }

  void breakConnection(String from, String to) {
    brokenConnections.add(from + ">" + to);
  }

  void cut(BiPredicate<NodeId, NodeId> changed) {
    cut = changed;
  }

  void drop(double rate) {
    dropRate = rate;
  }

  void tableUnavailable(boolean away) {
    tableUnavailable = away;
  }

  RegionId regionOf(NodeId node) {
    return nodes.get(node).state.region();
  }

  Set<NodeId> running() {
    return nodes.keySet();
  }

  Membership membership(String name) {
    return nodes.get(NodeId.of(name)).membership;
  }

  MembershipSimulation run(long forMs) {
    long untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs++;
      deliverDue();
      if (nowMs % TICK_MS == 0) {
        List.copyOf(nodes.values()).forEach(node -> offer(node, new MembershipEvent.Tick()));
      }
    }
    return this;
  }

  void post(String name, MembershipEvent event) {
    offer(nodes.get(NodeId.of(name)), event);
  }

  /** Returns whether every running node sees the given status of a node. */
  boolean allSee(String name, MemberStatus status) {
    return nodes.values().stream()
        .filter(node -> !node.state.node().value().equals(name))
        .allMatch(node -> sees(node.membership, NodeId.of(name)) == status);
  }

  /** Returns the status that one running node sees of another, or null. */
  MemberStatus seenBy(String observer, String name) {
    return sees(membership(observer), NodeId.of(name));
  }

  /** Returns whether every running node sees exactly the running nodes as alive. */
  boolean converged() {
    return nodes.values().stream()
        .allMatch(
            node ->
                node.membership.members().stream()
                    .filter(member -> member.status() == MemberStatus.ALIVE)
                    .map(MemberState::node)
                    .toList()
                    .equals(List.copyOf(nodes.keySet())));
  }

  /** Returns the changes of status that any node observed since the last call. */
  List<String> takeChanges() {
    List<String> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }

  long delivered() {
    return delivered;
  }

  private static MemberStatus sees(Membership membership, NodeId node) {
    return membership.members().stream()
        .filter(member -> member.node().equals(node))
        .map(MemberState::status)
        .findFirst()
        .orElse(null);
  }

  private void deliverDue() {
    while (!deliveries.isEmpty() && deliveries.peek().atMs() <= nowMs) {
      Delivery next = deliveries.poll();
      Node receiver =
          nodes.values().stream()
              .filter(node -> node.state.host().equals(next.host()))
              .findFirst()
              .orElse(null);
      if (receiver != null && !cut.test(next.from(), receiver.state.node())) {
        delivered++;
        offer(receiver, next.event());
      }
    }
  }

  private void offer(Node node, MembershipEvent event) {
    if (nowMs < node.pausedUntilMs) {
      node.waiting.add(event);
      return;
    }
    // After a pause the ticks are handled first. That is the worst order, because the answers of
    // peers are still queued.
    List<MembershipEvent> events = new ArrayList<>(node.waiting);
    events.sort(Comparator.comparing(waiting -> !(waiting instanceof MembershipEvent.Tick)));
    node.waiting.clear();
    events.add(event);
    events.forEach(next -> perform(node, node.membership.handle(next, nowMs)));
  }

  private void perform(Node node, List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendProbe send) {
        if (send.freshConnection()) {
          brokenConnections.remove(node.state.node() + ">" + send.target().node());
        }
        send(node, send.target(), new MembershipEvent.ProbeReceived(send.probe()));
      } else if (effect instanceof MembershipEffect.SendProbeAck send) {
        if (send.freshConnection()) {
          brokenConnections.remove(node.state.node() + ">" + send.target().node());
        }
        send(node, send.target(), new MembershipEvent.ProbeAckReceived(send.ack()));
      } else if (effect instanceof MembershipEffect.WriteNodeRow write && !tableUnavailable) {
        rows.put(write.state().node(), write.state());
      } else if (effect instanceof MembershipEffect.DeleteNodeRow delete && !tableUnavailable) {
        rows.remove(delete.node());
      } else if (effect instanceof MembershipEffect.ReadNodeRows && !tableUnavailable) {
        deliver(
            node.state.node(),
            node.state.host(),
            10,
            new MembershipEvent.NodeRowsRead(List.copyOf(rows.values())));
      } else if (effect instanceof MembershipEffect.ReadVmList) {
        List<MembershipEvent.ListedVm> vms =
            nodes.keySet().stream().map(id -> new MembershipEvent.ListedVm(id, false)).toList();
        deliver(node.state.node(), node.state.host(), 10, new MembershipEvent.VmListRead(vms));
      } else if (effect instanceof MembershipEffect.VersionExchanged exchange) {
        exchanged.computeIfAbsent(node.state.node(), id -> new HashSet<>()).add(exchange.peer());
      } else if (effect instanceof MembershipEffect.MemberChanged changed) {
        changes.add(
            nowMs
                + " "
                + node.state.node()
                + " sees "
                + changed.member().node()
                + " "
                + changed.member().status());
      }
    }
  }

  private void send(Node from, MemberState to, MembershipEvent event) {
    boolean lost =
        random.nextDouble() < dropRate
            || brokenConnections.contains(from.state.node() + ">" + to.node());
    if (!lost) {
      boolean near = from.state.region().equals(to.region());
      deliver(from.state.node(), to.host(), near ? 1 : 20, event);
    }
  }

  private void deliver(NodeId from, String host, long delayMs, MembershipEvent event) {
    deliveries.add(new Delivery(nowMs + delayMs, ++sent, from, host, event));
  }

  private record Delivery(
      long atMs, long number, NodeId from, String host, MembershipEvent event) {}

  private static final class Node {
    private final MemberState state;
    private final Membership membership;
    private final List<MembershipEvent> waiting = new ArrayList<>();
    private long pausedUntilMs;

    private Node(MemberState state, Membership membership) {
      this.state = state;
      this.membership = membership;
    }
  }
}
