package dev.bambootray.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One first-come first-served queue before all healthy slots, without network and with perfect
 * knowledge: it never uses a slow target and loses no run with a lost one.
 */
final class IdealReplay {
  private final EventLoop loop = new EventLoop();
  private final Topology topology;
  private final Tally tally;
  private final Deque<Workload.Arrival> queue = new ArrayDeque<>();
  private final int[] used = new int[Topology.TARGETS];
  private final List<List<Workload.Arrival>> running = new ArrayList<>();

  private IdealReplay(Topology topology, int requests) {
    this.topology = topology;
    this.tally = new Tally(requests);
    for (int i = 0; i < Topology.TARGETS; i++) {
      running.add(new ArrayList<>());
    }
  }

  static Tally run(Topology topology, List<Workload.Arrival> arrivals, long endUs) {
    IdealReplay replay = new IdealReplay(topology, arrivals.size());
    for (Workload.Arrival arrival : arrivals) {
      replay.loop.at(arrival.arrivalUs() + Topology.CLIENT_US, () -> replay.arrive(arrival));
    }
    for (int target = 0; target < Topology.TARGETS; target++) {
      if (topology.isEverLost(target)) {
        int lost = target;
        replay.loop.at(topology.lostFromUs(target), () -> replay.lose(lost));
      }
    }
    replay.loop.runUntil(endUs);
    return replay.tally;
  }

  private void arrive(Workload.Arrival arrival) {
    queue.addLast(arrival);
    dispatch();
  }

  private void dispatch() {
    for (int target = 0; target < Topology.TARGETS && !queue.isEmpty(); target++) {
      while (isHealthy(target) && used[target] < Topology.SLOTS && !queue.isEmpty()) {
        start(queue.removeFirst(), target);
      }
    }
  }

  private boolean isHealthy(int target) {
    return !topology.isFailing(target)
        && !topology.isSlow(target, loop.nowUs())
        && !topology.isLost(target, loop.nowUs());
  }

  private void start(Workload.Arrival arrival, int target) {
    used[target]++;
    running.get(target).add(arrival);
    tally.dispatches++;
    loop.after(arrival.serviceUs(), () -> end(arrival, target));
  }

  private void end(Workload.Arrival arrival, int target) {
    if (running.get(target).remove(arrival)) {
      used[target]--;
      tally.answer(arrival.index(), loop.nowUs() + Topology.CLIENT_US, true, false);
      dispatch();
    }
  }

  private void lose(int target) {
    running.get(target).forEach(queue::addFirst);
    running.get(target).clear();
    dispatch();
  }
}
