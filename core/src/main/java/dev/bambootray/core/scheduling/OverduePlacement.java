package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds smaller borrowed work that a job with an overdue reservation may preempt. */
final class OverduePlacement {
  /** Limit on compared racks; those with the most free accelerators come first. */
  private static final int COMPARED_RACKS = 24;

  private final Pool pool;
  private final PlacementPolicy placement;
  private final VictimPolicy victimPolicy;
  private final LossBudget losses;

  OverduePlacement(
      Pool pool, PlacementPolicy placement, VictimPolicy victimPolicy, LossBudget losses) {
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
  GuaranteedPlacement.@Nullable Place find(Job job, double waitRatio, long nowMs) {
    View view = job.repeatable() ? View.STOPPABLE : View.BINDABLE;
    GuaranteedPlacement.Place best = null;
    double bestCost = Double.MAX_VALUE;
    for (List<WorkerSlot> group : groups(job)) {
      Set<WorkerSlot> workers = Set.copyOf(group);
      List<Spot> spots =
          placement.place(
              pool,
              job.shape,
              view,
              w -> workers.contains(w) && !w.probation && w.notBeforeMs <= nowMs);
      Set<Gang> victims = spots.isEmpty() ? null : Claims.victims(spots, job);
      if (victims == null || !mayStop(victims, job, waitRatio, nowMs)) {
        continue;
      }
      double cost = victimPolicy.cost(victims, job.shape.totalAccelerators(), nowMs);
      if (cost < bestCost) {
        best = new GuaranteedPlacement.Place(null, spots, victims, PlacementRound.kindBeyond(job));
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
    return lostMs == 0 || (waitRatio >= Reclaim.LATE_RATIO && losses.allows(lostMs));
  }

  private List<List<WorkerSlot>> groups(Job job) {
    return switch (job.shape.adjacency()) {
      case ADJACENT_WORKERS, RACK -> {
        List<RackGroup> racks = new ArrayList<>(pool.racks);
        racks.sort(Comparator.comparingInt(pool.free::openInRack).reversed());
        yield racks.stream().limit(COMPARED_RACKS).map(rack -> rack.workers).toList();
      }
      case FAILURE_DOMAIN, REGION -> pool.domains.values().stream().map(Groups::workers).toList();
    };
  }
}
