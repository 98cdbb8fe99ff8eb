package dev.bambootray.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Replay of a simple policy: each node sends every request at once to a target of any region, and
 * each target queues what exceeds its slots. A failed run is sent again at once, up to three runs;
 * a target is left out once its loss is known.
 */
final class BaselineReplay {
  private static final int MAX_RUNS = 3;
  private static final long FAILURE_US = 1_000;

  private final EventLoop loop = new EventLoop();
  private final BaselinePolicy policy;
  private final Topology topology;
  private final UniformRandomProvider random;
  private final Tally tally;
  private final int[] used = new int[Topology.TARGETS];
  private final List<Deque<Job>> queues = new ArrayList<>();
  private final BaselinePolicy.NodeView[] views = new BaselinePolicy.NodeView[Topology.NODES];

  private static final class Job {
    final Workload.Arrival arrival;
    int runs;

    Job(Workload.Arrival arrival) {
      this.arrival = arrival;
    }
  }

  private BaselineReplay(
      BaselinePolicy policy, Topology topology, int requests, UniformRandomProvider random) {
    this.policy = policy;
    this.topology = topology;
    this.random = random;
    this.tally = new Tally(requests);
    for (int i = 0; i < Topology.TARGETS; i++) {
      queues.add(new ArrayDeque<>());
    }
    for (int i = 0; i < Topology.NODES; i++) {
      views[i] = new BaselinePolicy.NodeView(i);
    }
  }

  static Tally run(
      BaselinePolicy policy,
      Topology topology,
      List<Workload.Arrival> arrivals,
      long endUs,
      UniformRandomProvider random) {
    BaselineReplay replay = new BaselineReplay(policy, topology, arrivals.size(), random);
    for (Workload.Arrival arrival : arrivals) {
      replay.loop.at(
          arrival.arrivalUs() + Topology.CLIENT_US, () -> replay.dispatch(new Job(arrival)));
    }
    replay.loop.runUntil(endUs);
    return replay.tally;
  }

  private void dispatch(Job job) {
    int[] usable = new int[Topology.TARGETS];
    int count = 0;
    for (int target = 0; target < Topology.TARGETS; target++) {
      if (!topology.isKnownLost(target, loop.nowUs())) {
        usable[count++] = target;
      }
    }
    BaselinePolicy.NodeView view = views[job.arrival.node()];
    int target = policy.choose(usable, count, view, random);
    view.outstanding[target]++;
    job.runs++;
    tally.dispatches++;
    if (Topology.regionOf(target) != job.arrival.region()) {
      tally.crossRegionBytes += job.arrival.bytes();
    }
    loop.after(wayUs(job, target), () -> arriveAtTarget(job, target));
  }

  private static long wayUs(Job job, int target) {
    return Topology.regionOf(target) == job.arrival.region()
        ? Topology.LOCAL_US
        : Topology.REGION_US;
  }

  private void arriveAtTarget(Job job, int target) {
    if (topology.isLost(target, loop.nowUs())) {
      return;
    }
    if (used[target] < Topology.SLOTS) {
      start(job, target);
    } else {
      queues.get(target).addLast(job);
    }
  }

  private void start(Job job, int target) {
    used[target]++;
    boolean failing = topology.isFailing(target);
    long runUs =
        failing ? FAILURE_US : topology.runUs(target, job.arrival.serviceUs(), loop.nowUs());
    loop.after(runUs, () -> end(job, target, !failing));
  }

  private void end(Job job, int target, boolean success) {
    if (topology.isLost(target, loop.nowUs())) {
      return;
    }
    used[target]--;
    Job next = queues.get(target).pollFirst();
    if (next != null) {
      start(next, target);
    }
    loop.after(wayUs(job, target), () -> reply(job, target, success));
  }

  private void reply(Job job, int target, boolean success) {
    views[job.arrival.node()].outstanding[target]--;
    if (!success && job.runs < MAX_RUNS) {
      dispatch(job);
      return;
    }
    tally.answer(job.arrival.index(), loop.nowUs() + Topology.CLIENT_US, success, false);
  }
}
