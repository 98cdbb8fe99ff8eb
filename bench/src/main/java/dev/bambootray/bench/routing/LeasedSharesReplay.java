package dev.bambootray.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Replay of leased slot shares: the nodes of a region share its healthy slots by leases, and each
 * node has its own queue. Each second, slots that are not in use move to the nodes in proportion to
 * their demand. Requests stay in their region. As in the ideal replay, slow and lost targets are
 * known and not used, so only the sharing itself is compared.
 */
final class LeasedSharesReplay {
  private static final long REBALANCE_US = 1_000_000;

  private final EventLoop loop = new EventLoop();
  private final Topology topology;
  private final Tally tally;
  private final int[] leased = new int[Topology.NODES];
  private final int[] used = new int[Topology.NODES];
  private final List<Deque<Workload.Arrival>> queues = new ArrayList<>();

  private LeasedSharesReplay(Topology topology, int requests) {
    this.topology = topology;
    this.tally = new Tally(requests);
    for (int i = 0; i < Topology.NODES; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  static Tally run(Topology topology, List<Workload.Arrival> arrivals, long endUs) {
    LeasedSharesReplay replay = new LeasedSharesReplay(topology, arrivals.size());
    replay.rebalance(endUs);
    for (Workload.Arrival arrival : arrivals) {
      replay.loop.at(arrival.arrivalUs() + Topology.CLIENT_US, () -> replay.arrive(arrival));
    }
    replay.loop.runUntil(endUs);
    return replay.tally;
  }

  private void rebalance(long endUs) {
    for (int region = 0; region < Topology.REGIONS; region++) {
      share(region);
    }
    for (int node = 0; node < Topology.NODES; node++) {
      dispatch(node);
    }
    if (loop.nowUs() + REBALANCE_US <= endUs) {
      loop.after(REBALANCE_US, () -> rebalance(endUs));
    }
  }

  private void share(int region) {
    int free = slotsOf(region);
    double demand = 0;
    for (int node = region; node < Topology.NODES; node += Topology.REGIONS) {
      free -= used[node];
      demand += demandOf(node);
    }
    int left = Math.max(0, free);
    for (int node = region; node < Topology.NODES; node += Topology.REGIONS) {
      int share = Math.min(left, (int) Math.ceil(Math.max(0, free) * demandOf(node) / demand));
      leased[node] = used[node] + share;
      left -= share;
    }
  }

  private double demandOf(int node) {
    return 1.0 + used[node] + queues.get(node).size();
  }

  private int slotsOf(int region) {
    int slots = 0;
    for (int target = region; target < Topology.TARGETS; target += Topology.REGIONS) {
      boolean healthy =
          !topology.isFailing(target)
              && !topology.isSlow(target, loop.nowUs())
              && !topology.isLost(target, loop.nowUs());
      slots += healthy ? Topology.SLOTS : 0;
    }
    return slots;
  }

  private void arrive(Workload.Arrival arrival) {
    queues.get(arrival.node()).addLast(arrival);
    dispatch(arrival.node());
  }

  private void dispatch(int node) {
    Deque<Workload.Arrival> queue = queues.get(node);
    while (used[node] < leased[node] && !queue.isEmpty()) {
      Workload.Arrival arrival = queue.removeFirst();
      used[node]++;
      tally.dispatches++;
      loop.after(arrival.serviceUs() + 2 * Topology.LOCAL_US, () -> end(arrival));
    }
  }

  private void end(Workload.Arrival arrival) {
    used[arrival.node()]--;
    tally.answer(arrival.index(), loop.nowUs() + Topology.CLIENT_US, true, false);
    dispatch(arrival.node());
  }
}
