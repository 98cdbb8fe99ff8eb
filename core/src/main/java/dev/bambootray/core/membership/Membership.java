package dev.bambootray.core.membership;

import static dev.bambootray.core.membership.MembershipTimes.DISCOVERY_READ_INTERVAL_MS;
import static dev.bambootray.core.membership.MembershipTimes.EXCHANGE_ROUNDS;
import static dev.bambootray.core.membership.MembershipTimes.OWN_PAUSE_MS;
import static dev.bambootray.core.membership.MembershipTimes.PROBE_INTERVAL_MS;
import static dev.bambootray.core.membership.MembershipTimes.REJOIN_INTERVAL_MS;
import static dev.bambootray.core.membership.MembershipTimes.RELAY_INTERVAL_MS;
import static dev.bambootray.core.membership.MembershipTimes.TABLE_READ_INTERVAL_MS;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Detects which nodes are alive by probing ring successors, exchanging gossip and reading the rows
 * {@code node/<id>} and the platform's list of VMs.
 */
public final class Membership {
  /** Maximum number of unanswered probes that are tracked; the oldest are dropped. */
  private static final int MAX_PENDING = 256;

  private final MemberTable table;
  private final GossipBuffer gossip = new GossipBuffer();
  private final UniformRandomProvider random;
  private final Map<Long, PendingProbe> pending = new LinkedHashMap<>();
  private Set<NodeId> probed = new HashSet<>();
  private long sequence;
  private long configurationVersion;
  private long lastEventMs = Long.MIN_VALUE;
  private long nextProbeMs;
  private long nextRejoinMs;
  private long nextTableReadMs;
  private long discoveryEndsMs;
  private long lastRelayMs;
  private boolean hasUrgentNews;
  private boolean exchangesWanted;
  private boolean ownRowWritten;
  private int rejoinTurn;
  private int exchangeTurn;

  private Membership(MemberState self, UniformRandomProvider random) {
    this.table = new MemberTable(self);
    this.random = random;
    this.rejoinTurn = random.nextInt(1 << 16);
  }

  /**
   * Returns a membership that knows only its own node.
   *
   * @param self state of this node; its incarnation must be above that of every earlier process
   *     under the same identifier, for example the wall clock at start in milliseconds
   * @param random spreads the first probes and reads of the nodes
   */
  public static Membership create(MemberState self, UniformRandomProvider random) {
    return new Membership(self, random);
  }

  /** Returns the present state of this node. */
  public MemberState self() {
    return table.self();
  }

  /**
   * Returns all members, this node included, in the order of their identifiers.
   *
   * <p>Dead members are included until their row is deleted from the table, so that both sides of a
   * partition count a majority of the same members.
   */
  public List<MemberState> members() {
    return table.members();
  }

  /** Returns the newest known load of each region. */
  public List<RegionLoad> loads() {
    return gossip.loads();
  }

  /** Handles an event and returns the effects to carry out, in order. */
  public List<MembershipEffect> handle(MembershipEvent event, long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (lastEventMs == Long.MIN_VALUE) {
      spreadTimers(nowMs);
    } else if (nowMs - lastEventMs > OWN_PAUSE_MS) {
      table.postponeDeadlines(nowMs - lastEventMs);
    }
    lastEventMs = Math.max(lastEventMs, nowMs);
    if (event instanceof MembershipEvent.Tick) {
      tick(nowMs, effects);
    } else if (event instanceof MembershipEvent.ProbeReceived received) {
      receiveProbe(received.probe(), nowMs, effects);
    } else if (event instanceof MembershipEvent.ProbeAckReceived received) {
      receiveAck(received.ack(), nowMs, effects);
    } else if (event instanceof MembershipEvent.NodeRowsRead read) {
      readRows(read.rows(), nowMs, effects);
    } else if (event instanceof MembershipEvent.VmListRead read) {
      readVms(read.vms(), nowMs, effects);
    } else if (event instanceof MembershipEvent.LoadsMeasured measured) {
      measured.loads().forEach(gossip::offerLoad);
    } else if (event instanceof MembershipEvent.ConfigurationVersionChanged changed) {
      configurationVersion = Math.max(configurationVersion, changed.version());
    } else if (event instanceof MembershipEvent.ExchangesWanted exchanges) {
      exchangesWanted = exchanges.wanted();
    } else if (event instanceof MembershipEvent.LeaveRequested) {
      leave(effects);
    } else if (event instanceof MembershipEvent.LeaveCompleted) {
      effects.add(new MembershipEffect.DeleteNodeRow(self().node()));
    }
    publishChanges(effects);
    if (hasUrgentNews && nowMs - lastRelayMs >= RELAY_INTERVAL_MS) {
      probeRelays(nowMs, effects);
    }
    return effects;
  }

  private void spreadTimers(long nowMs) {
    nextProbeMs = nowMs + random.nextLong(PROBE_INTERVAL_MS);
    nextRejoinMs = nowMs;
    nextTableReadMs = nowMs;
    discoveryEndsMs = nowMs + TABLE_READ_INTERVAL_MS;
    lastRelayMs = nowMs - RELAY_INTERVAL_MS;
  }

  private void tick(long nowMs, List<MembershipEffect> effects) {
    for (MemberState silent : table.suspectUnresponsive(probed, nowMs)) {
      probe(silent, true, nowMs, effects);
    }
    table.declareUnrefutedDead(nowMs);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = Math.max(nextProbeMs + PROBE_INTERVAL_MS, nowMs);
      probeSuccessors(nowMs, effects);
    }
    if (nowMs >= nextRejoinMs) {
      nextRejoinMs = nowMs + REJOIN_INTERVAL_MS;
      probeOneAbsent(nowMs, effects);
    }
    if (nowMs >= nextTableReadMs) {
      long intervalMs =
          nowMs < discoveryEndsMs ? DISCOVERY_READ_INTERVAL_MS : TABLE_READ_INTERVAL_MS;
      nextTableReadMs = nowMs + intervalMs + random.nextLong(intervalMs / 10);
      readAndWriteTable(effects);
    }
  }

  private void probeSuccessors(long nowMs, List<MembershipEffect> effects) {
    List<MemberState> targets = ring().targets();
    Set<NodeId> now = new HashSet<>();
    for (MemberState target : targets) {
      if (!probed.contains(target.node())) {
        table.startWatching(target.node(), nowMs);
      }
      now.add(target.node());
      probe(target, false, nowMs, effects);
    }
    probed = now;
    if (exchangesWanted) {
      askOthers(nowMs, effects);
    }
  }

  /**
   * Probes members beyond the ring successors in rotation, so that three rounds reach at least half
   * of all members.
   */
  private void askOthers(long nowMs, List<MembershipEffect> effects) {
    List<MemberState> others =
        table.present().stream()
            .filter(member -> !member.node().equals(self().node()))
            .filter(member -> !probed.contains(member.node()))
            .toList();
    int half = table.size() / 2;
    int count = (half + EXCHANGE_ROUNDS - 1) / EXCHANGE_ROUNDS;
    for (int i = 0; i < Math.min(count, others.size()); i++) {
      probe(others.get(exchangeTurn++ % others.size()), false, nowMs, effects);
    }
  }

  private void probeOneAbsent(long nowMs, List<MembershipEffect> effects) {
    List<MemberState> absent = table.absent();
    if (!absent.isEmpty()) {
      probe(absent.get(rejoinTurn++ % absent.size()), true, nowMs, effects);
    }
  }

  private void readAndWriteTable(List<MembershipEffect> effects) {
    if (!ownRowWritten) {
      writeOwnRow(effects);
    }
    effects.add(new MembershipEffect.ReadNodeRows());
    effects.add(new MembershipEffect.ReadVmList());
  }

  private void receiveProbe(PeerMessage.Probe probe, long nowMs, List<MembershipEffect> effects) {
    table.mergeFromOrigin(probe.origin(), nowMs);
    learn(probe.sender(), probe.gossip(), nowMs, effects);
    effects.add(
        new MembershipEffect.VersionAnnounced(
            probe.sender(), probe.gossip().configurationVersion()));
    boolean replaceConnection =
        table.shouldReplaceConnection(probe.sender(), probe.gossip(), nowMs);
    Gossip reply = gossipFor(probe.sender(), true);
    effects.add(
        new MembershipEffect.SendProbeAck(
            probe.origin(),
            new PeerMessage.ProbeAck(self().node(), probe.sequence(), reply),
            replaceConnection));
  }

  private void receiveAck(PeerMessage.ProbeAck ack, long nowMs, List<MembershipEffect> effects) {
    PendingProbe answered = pending.remove(ack.sequence());
    learn(ack.sender(), ack.gossip(), nowMs, effects);
    if (answered == null) {
      effects.add(
          new MembershipEffect.VersionAnnounced(ack.sender(), ack.gossip().configurationVersion()));
      return;
    }
    ack.gossip().members().stream()
        .filter(state -> state.node().equals(ack.sender()))
        .forEach(state -> table.mergeFromOrigin(state, nowMs));
    if (!answered.node().equals(ack.sender())) {
      table.markReplaced(answered.node(), nowMs);
    }
    table.answered(ack.sender(), nowMs);
    effects.add(
        new MembershipEffect.VersionExchanged(
            ack.sender(), ack.gossip().configurationVersion(), answered.sentMs()));
  }

  private void learn(NodeId from, Gossip received, long nowMs, List<MembershipEffect> effects) {
    received.members().forEach(state -> table.merge(state, nowMs));
    for (RegionLoad load : received.loads()) {
      if (!from.equals(self().node()) && gossip.offerLoad(load)) {
        effects.add(new MembershipEffect.LoadLearned(load));
      }
    }
  }

  private void readRows(List<MemberState> rows, long nowMs, List<MembershipEffect> effects) {
    ownRowWritten = rows.stream().anyMatch(row -> row.equals(self()));
    if (!ownRowWritten) {
      writeOwnRow(effects);
    }
    for (NodeId removed : table.applyRows(rows, nowMs)) {
      gossip.memberRemoved(removed);
      effects.add(new MembershipEffect.MemberRemoved(removed));
    }
    if (table.present().size() == 1) {
      // A node that knows no other member yet probes several nodes of the table at once.
      for (int i = 0; i < ProbeRing.SUCCESSORS; i++) {
        probeOneAbsent(nowMs, effects);
      }
    }
  }

  private void readVms(
      List<MembershipEvent.ListedVm> vms, long nowMs, List<MembershipEffect> effects) {
    boolean ownLeaving =
        vms.stream().anyMatch(vm -> vm.leaving() && vm.node().equals(self().node()));
    if (ownLeaving && self().status() != MemberStatus.LEAVING) {
      effects.add(new MembershipEffect.OwnVmLeaving());
    }
    if (table.isFirstAlive()) {
      table.findRemovable(vms, nowMs).stream()
          .map(MembershipEffect.DeleteNodeRow::new)
          .forEach(effects::add);
    }
  }

  private void leave(List<MembershipEffect> effects) {
    if (self().status() != MemberStatus.LEAVING) {
      table.leave();
      writeOwnRow(effects);
    }
  }

  private void writeOwnRow(List<MembershipEffect> effects) {
    effects.add(new MembershipEffect.WriteNodeRow(self()));
  }

  private void publishChanges(List<MembershipEffect> effects) {
    for (MemberState changed : table.takeChanges()) {
      gossip.memberChanged(changed.node(), table.size());
      effects.add(new MembershipEffect.MemberChanged(changed));
      hasUrgentNews = true;
    }
  }

  private void probeRelays(long nowMs, List<MembershipEffect> effects) {
    hasUrgentNews = false;
    lastRelayMs = nowMs;
    ring().relays().forEach(relay -> probe(relay, false, nowMs, effects));
  }

  private void probe(
      MemberState target, boolean fresh, long nowMs, List<MembershipEffect> effects) {
    long number = ++sequence;
    pending.put(number, new PendingProbe(target.node(), nowMs));
    if (pending.size() > MAX_PENDING) {
      pending.remove(pending.keySet().iterator().next());
    }
    Gossip content = gossipFor(target.node(), false);
    effects.add(
        new MembershipEffect.SendProbe(
            target, new PeerMessage.Probe(self().node(), number, self(), content), fresh));
  }

  /** Returns gossip; a suspected or dead receiver gets its own state, so that it can refute it. */
  private Gossip gossipFor(NodeId receiver, boolean withSelf) {
    List<MemberState> first = new ArrayList<>();
    if (withSelf) {
      first.add(self());
    }
    table
        .find(receiver)
        .filter(
            state -> state.status() == MemberStatus.SUSPECT || state.status() == MemberStatus.DEAD)
        .ifPresent(first::add);
    return gossip.next(table.states(), first, configurationVersion);
  }

  private ProbeRing ring() {
    return ProbeRing.of(table.present(), self().node());
  }

  private record PendingProbe(NodeId node, long sentMs) {}
}
