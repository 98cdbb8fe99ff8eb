package dev.bambootray.bench.routing;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.CrossRegionByteCounter;
import dev.bambootray.core.routing.QueuedRequest;
import dev.bambootray.core.routing.RegionChooser;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.routing.RouterEffect;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.routing.RouterLoad;
import dev.bambootray.core.routing.TargetRouter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Replay of the router: one owner per region, and region choice at the entry nodes. */
final class RouterReplay {
  private static final long TICK_US = 20_000;
  private static final long GOSSIP_US = 500_000;
  private static final long GOSSIP_DELAY_US = 50_000;

  /** Entry nodes do not know the size of a result beforehand and assume the mean. */
  private static final long USUAL_RESULT_BYTES = 20_480;

  private static final long INTENT_US = 10_000;

  private final EventLoop loop = new EventLoop();
  private final Topology topology;
  private final Tally tally;
  private final List<TargetRouter> routers = new ArrayList<>();
  private final List<RegionChooser> choosers = new ArrayList<>();
  private final List<RegionId> regions = new ArrayList<>();
  private final Map<WorkerId, SimulatedWorker> workers = new HashMap<>();
  private final Map<RequestKey, Workload.Arrival> arrivals = new HashMap<>();
  private final Map<RequestKey, Integer> servedIn = new HashMap<>();
  private final CrossRegionByteCounter bytes = CrossRegionByteCounter.create();
  private List<RegionLoad> loads = List.of();

  private RouterReplay(
      Topology topology, int requests, PolicyDeclaration policy, UniformRandomProvider random) {
    this.topology = topology;
    this.tally = new Tally(requests);
    Declaration declaration = BenchDeclaration.create(Topology.TARGETS, policy);
    for (int region = 0; region < Topology.REGIONS; region++) {
      regions.add(BenchDeclaration.region(region));
      routers.add(
          TargetRouter.builder()
              .region(regions.get(region))
              .declaration(declaration)
              .owner(NodeId.of("node-" + region))
              .epoch(1)
              .random(RandomSource.SPLIT_MIX_64.create(random.nextLong()))
              .build());
    }
    for (int node = 0; node < Topology.NODES; node++) {
      choosers.add(
          RegionChooser.builder()
              .local(regions.get(Topology.regionOfNode(node)))
              .declaration(declaration)
              .random(RandomSource.SPLIT_MIX_64.create(random.nextLong()))
              .build());
    }
  }

  static Tally run(
      Topology topology,
      List<Workload.Arrival> arrivals,
      long endUs,
      PolicyDeclaration policy,
      UniformRandomProvider random) {
    RouterReplay replay = new RouterReplay(topology, arrivals.size(), policy, random);
    replay.joinTargets();
    for (Workload.Arrival arrival : arrivals) {
      replay.loop.at(arrival.arrivalUs() + Topology.CLIENT_US, () -> replay.enter(arrival));
    }
    for (int region = 0; region < Topology.REGIONS; region++) {
      replay.tick(region, endUs);
    }
    replay.gossip(endUs);
    replay.loop.runUntil(endUs);
    replay.tally.crossRegionBytes = replay.bytes.total();
    return replay.tally;
  }

  private void joinTargets() {
    for (int target = 0; target < Topology.TARGETS; target++) {
      int region = Topology.regionOf(target);
      WorkerId worker = BenchDeclaration.worker(target);
      workers.put(
          worker,
          new SimulatedWorker(target, topology, loop, tally, event -> handle(region, event)));
      handle(region, new RouterEvent.TargetJoined(worker));
      if (topology.isEverLost(target)) {
        loop.at(
            topology.lostFromUs(target) + Topology.LOSS_KNOWN_US,
            () -> handle(region, new RouterEvent.TargetLost(worker)));
      }
    }
  }

  private void tick(int region, long endUs) {
    handle(region, new RouterEvent.Tick());
    if (loop.nowUs() + TICK_US <= endUs) {
      loop.after(TICK_US, () -> tick(region, endUs));
    }
  }

  private void gossip(long endUs) {
    List<RegionLoad> measured = new ArrayList<>();
    for (int region = 0; region < Topology.REGIONS; region++) {
      RouterLoad load = routers.get(region).loadOf(nowMs());
      measured.add(
          new RegionLoad(
              regions.get(region),
              NodeId.of("node-" + region),
              1,
              load.freeSlots(),
              load.totalSlots(),
              0,
              0,
              load.expectedSlotWaitMs(),
              0,
              nowMs()));
    }
    loop.after(GOSSIP_DELAY_US, () -> loads = measured);
    if (loop.nowUs() + GOSSIP_US <= endUs) {
      loop.after(GOSSIP_US, () -> gossip(endUs));
    }
  }

  private void enter(Workload.Arrival arrival) {
    RegionId chosen =
        choosers
            .get(arrival.node())
            .chooseForSlot(arrival.requestBytes() + USUAL_RESULT_BYTES, loads, nowMs());
    int region = regions.indexOf(chosen);
    QueuedRequest request = BenchDeclaration.request(arrival);
    arrivals.put(request.spec().key(), arrival);
    servedIn.put(request.spec().key(), region);
    bytes.add(regions.get(arrival.region()), chosen, arrival.requestBytes());
    loop.after(
        wayUs(arrival, region), () -> handle(region, new RouterEvent.RequestQueued(request)));
  }

  private static long wayUs(Workload.Arrival arrival, int region) {
    return arrival.region() == region ? Topology.LOCAL_US : Topology.REGION_US;
  }

  private long nowMs() {
    return BenchDeclaration.START_MS + loop.nowUs() / 1_000;
  }

  private void handle(int region, RouterEvent event) {
    for (RouterEffect effect : routers.get(region).handle(event, nowMs())) {
      carryOut(region, effect);
    }
  }

  private void carryOut(int region, RouterEffect effect) {
    if (effect instanceof RouterEffect.RunOnTarget run) {
      tally.dispatches++;
      worker(run.worker()).run(run.key(), run.task(), arrival(run.key()));
    } else if (effect instanceof RouterEffect.CompleteRequest done) {
      answer(region, done.key(), true, false);
    } else if (effect instanceof RouterEffect.RefuseRequest refused) {
      answer(region, refused.key(), false, refused.error().ran() == ExecutionStatus.NO);
    } else if (effect instanceof RouterEffect.RecordIntent intent) {
      loop.after(INTENT_US, () -> handle(region, new RouterEvent.IntentRecorded(intent.task())));
    } else if (effect instanceof RouterEffect.CancelRun cancel) {
      worker(cancel.worker()).cancel(cancel.task());
    } else if (effect instanceof RouterEffect.QueryRunStatus query) {
      worker(query.worker()).queryFate(query.task(), query.waitMs());
    } else if (effect instanceof RouterEffect.ProbeTarget probe) {
      worker(probe.worker()).probe();
    } else if (effect instanceof RouterEffect.CloseConnection close) {
      worker(close.worker()).closeConnection();
    }
  }

  private void answer(int region, RequestKey key, boolean success, boolean notRun) {
    Workload.Arrival arrival = arrival(key);
    if (success) {
      bytes.add(regions.get(region), regions.get(arrival.region()), arrival.resultBytes());
    }
    long atUs = loop.nowUs() + wayUs(arrival, region) + Topology.CLIENT_US;
    tally.answer(arrival.index(), atUs, success, notRun);
  }

  private SimulatedWorker worker(WorkerId id) {
    SimulatedWorker worker = workers.get(id);
    if (worker == null) {
      throw new IllegalStateException("no worker " + id);
    }
    return worker;
  }

  private Workload.Arrival arrival(RequestKey key) {
    Workload.Arrival arrival = arrivals.get(key);
    if (arrival == null) {
      throw new IllegalStateException("no request " + key);
    }
    return arrival;
  }
}
