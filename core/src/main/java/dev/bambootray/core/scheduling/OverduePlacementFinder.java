package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds smaller borrowed work that a job with an overdue reservation may preempt. */
final class OverduePlacementFinder {
  /** Limit on compared racks; those with the most free accelerators come first. */
  private static final int COMPARED_RACKS = 24;

  private final WorkerPool pool;
  private final PlacementPolicy placement;
  private final VictimPolicy victimPolicy;
  private final LossBudget losses;

  OverduePlacementFinder(
      WorkerPool pool, PlacementPolicy placement, VictimPolicy victimPolicy, LossBudget losses) {
    this.pool = pool;
    this.placement = placement;
    this.victimPolicy = victimPolicy;
    this.losses = losses;
  }

  /**
   * Returns the place whose victims cost the least, or null if there is none.
   *
   * @param job the job
   * @param waitRatio wait of the job divided by the wait that was promised
   * @param nowMs the time
   */
  GuaranteedPlacementFinder.@Nullable Place find(Job job, double waitRatio, long nowMs) {
    CapacityView view = job.repeatable() ? CapacityView.STOPPABLE : CapacityView.BINDABLE;
    GuaranteedPlacementFinder.Place best = null;
    double bestCost = Double.MAX_VALUE;
    for (List<PoolWorker> group : groups(job)) {
      Set<PoolWorker> workers = Set.copyOf(group);
      List<AcceleratorRange> ranges =
          placement.place(
              pool,
              job.shape,
              view,
              w -> workers.contains(w) && !w.probation && w.notBeforeMs <= nowMs);
      Set<Gang> victims = ranges.isEmpty() ? null : ClaimTracker.victims(ranges, job);
      if (victims == null || !mayStop(victims, job, waitRatio, nowMs)) {
        continue;
      }
      double cost = victimPolicy.cost(victims, job.shape.totalAccelerators(), nowMs);
      if (cost < bestCost) {
        best =
            new GuaranteedPlacementFinder.Place(
                null, ranges, victims, PlacementRound.kindBeyondGuarantee(job));
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Allows only smaller gangs as victims, so that two jobs can never preempt each other in turn.
   */
  private boolean mayStop(Set<Gang> victims, Job job, double waitRatio, long nowMs) {
    double lostMs = 0;
    for (Gang victim : victims) {
      if (victim.job.shape.totalAccelerators() >= job.shape.totalAccelerators()) {
        return false;
      }
      lostMs += victimPolicy.lostWork(victim, nowMs);
    }
    return lostMs == 0 || (waitRatio >= ReclaimTiming.LATE_RATIO && losses.allows(lostMs));
  }

  private List<List<PoolWorker>> groups(Job job) {
    return switch (job.shape.adjacency()) {
      case ADJACENT_WORKERS, RACK -> {
        List<RackGroup> racks = new ArrayList<>(pool.racks);
        racks.sort(Comparator.comparingInt(pool.free::freeInRack).reversed());
        yield racks.stream().limit(COMPARED_RACKS).map(rack -> rack.workers).toList();
      }
      case FAILURE_DOMAIN, REGION ->
          pool.domains.values().stream().map(AdjacencyGroups::workers).toList();
    };
  }
}
