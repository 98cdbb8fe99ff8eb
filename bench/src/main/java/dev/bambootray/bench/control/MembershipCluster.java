package dev.bambootray.bench.control;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.membership.Membership;
import dev.bambootray.core.membership.MembershipEffect;
import dev.bambootray.core.membership.MembershipEvent;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Memberships in virtual time, joined by messages of 20 ms, that count their traffic. */
final class MembershipCluster {
  private static final long TICK_MS = 100;
  private static final long LINK_MS = 20;
  private static final long LOAD_MS = 1_000;

  private final Map<NodeId, Membership> nodes = new HashMap<>();
  private final Map<String, NodeId> byHost = new HashMap<>();
  private final List<MemberState> rows = new ArrayList<>();
  private final VirtualClock clock = new VirtualClock();
  private final int units;
  private boolean measuring;
  long messages;
  long bytes;
  long tableReads;
  final List<byte[]> samples = new ArrayList<>();

  MembershipCluster(int size, int units, long seed) {
    this.units = units;
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < size; i++) {
      MemberState state = Fleet.node(i, clock.nowMs());
      nodes.put(state.node(), Membership.create(state, random));
      byHost.put(state.host(), state.node());
      rows.add(state);
    }
    MembershipEvent tick = new MembershipEvent.Tick();
    clock.every(TICK_MS, () -> nodes.keySet().forEach(id -> offer(id, tick)));
    clock.every(LOAD_MS, this::tellLoads);
  }

  /** Counts messages from now on, and their bytes if asked for, which costs processor time. */
  void startCounting(boolean withBytes) {
    measuring = withBytes;
    messages = 0;
    bytes = 0;
    tableReads = 0;
    samples.clear();
  }

  void run(long forMs) {
    clock.run(forMs);
  }

  /** Ends a node and returns after how many milliseconds every other node knows, or 10,000. */
  long failureKnownAfterMs(int victim) {
    NodeId id = rows.get(victim).node();
    nodes.remove(id);
    long failedMs = clock.nowMs();
    while (clock.nowMs() - failedMs < 10_000 && !allKnowDead(id)) {
      run(10);
    }
    return clock.nowMs() - failedMs;
  }

  boolean converged() {
    return nodes.values().stream()
        .allMatch(
            node ->
                node.members().stream()
                        .filter(member -> member.status() == MemberStatus.ALIVE)
                        .count()
                    == nodes.size());
  }

  /** Returns the age of the oldest load that any node knows as the newest of its unit. */
  long oldestLoadMs() {
    long oldest = 0;
    for (Membership node : nodes.values()) {
      for (RegionLoad load : node.loads()) {
        oldest = Math.max(oldest, clock.nowMs() - load.measuredAtMs());
      }
    }
    return oldest;
  }

  private boolean allKnowDead(NodeId id) {
    return nodes.values().stream()
        .allMatch(
            node ->
                node.members().stream()
                    .anyMatch(
                        member ->
                            member.node().equals(id) && member.status() == MemberStatus.DEAD));
  }

  private void tellLoads() {
    for (int unit = 0; unit < units; unit++) {
      NodeId owner = rows.get(unit % rows.size()).node();
      RegionLoad load = Fleet.load(unit, owner, clock.nowMs());
      offer(owner, new MembershipEvent.LoadsMeasured(List.of(load)));
    }
  }

  private void offer(NodeId id, MembershipEvent event) {
    Membership node = nodes.get(id);
    if (node != null) {
      perform(id, node.handle(event, clock.nowMs()));
    }
  }

  private void perform(NodeId from, List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendProbe send) {
        count(send.probe());
        deliver(send.target(), new MembershipEvent.ProbeReceived(send.probe()));
      } else if (effect instanceof MembershipEffect.SendProbeAck send) {
        count(send.ack());
        deliver(send.target(), new MembershipEvent.ProbeAckReceived(send.ack()));
      } else if (effect instanceof MembershipEffect.ReadNodeRows) {
        tableReads++;
        clock.after(LINK_MS, () -> offer(from, new MembershipEvent.NodeRowsRead(rows)));
      }
    }
  }

  private void count(Object message) {
    messages++;
    if (measuring) {
      byte[] encoded = WireSize.encode(message);
      bytes += encoded.length + WireSize.MESSAGE_OVERHEAD_BYTES;
      if (samples.size() < 2_000) {
        samples.add(encoded);
      }
    }
  }

  private void deliver(MemberState target, MembershipEvent event) {
    NodeId to = byHost.get(target.host());
    if (to != null) {
      clock.after(LINK_MS, () -> offer(to, event));
    }
  }
}
