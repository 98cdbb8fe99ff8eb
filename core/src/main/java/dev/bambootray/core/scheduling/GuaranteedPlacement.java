package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds a place for a job within the guarantees of its workspace. */
final class GuaranteedPlacement {
  /** Places of equal cells that are compared for a claim. */
  private static final int COMPARED_PLACES = 64;

  private final Pool pool;
  private final GuaranteePlan plan;
  private final PlacementPolicy placement;
  private final VictimPolicy victimPolicy;

  GuaranteedPlacement(
      Pool pool, GuaranteePlan plan, PlacementPolicy placement, VictimPolicy victimPolicy) {
    this.pool = pool;
    this.plan = plan;
    this.placement = placement;
    this.victimPolicy = victimPolicy;
  }

  /**
   * A place within a cell.
   *
   * @param cell the cell
   * @param spots the place
   * @param victims gangs that must stop first
   */
  record Place(Cell cell, List<Spot> spots, Set<Gang> victims) {}

  /** Returns a place that is free now, moving an unused cell if that helps, or null. */
  @Nullable Place findFree(Job job, long nowMs) {
    List<Cell> cells = candidates(job);
    for (Cell cell : cells) {
      List<Spot> spots = CellFit.spots(cell, job.shape, w -> w.usedMask | w.heldMask);
      if (isUsable(spots, nowMs) && hasProcessors(spots, job)) {
        return new Place(cell, spots, Set.of());
      }
    }
    for (Cell cell : cells) {
      if (cell.unused() && (swapToFree(cell, job, nowMs) || moveToSpare(cell, nowMs))) {
        List<Spot> spots = CellFit.spots(cell, job.shape, w -> w.usedMask | w.heldMask);
        if (isUsable(spots, nowMs) && hasProcessors(spots, job)) {
          return new Place(cell, spots, Set.of());
        }
      }
    }
    return null;
  }

  /** Returns the bound cells that could hold the job: shared ones first, then the smallest. */
  private List<Cell> candidates(Job job) {
    List<Cell> cells = new ArrayList<>();
    for (Cell cell : plan.of(job.workspace())) {
      if (cell.bound() && cell.shape().totalAccelerators() >= job.shape.totalAccelerators()) {
        cells.add(cell);
      }
    }
    cells.sort(
        (a, b) ->
            a.unused() != b.unused()
                ? Boolean.compare(a.unused(), b.unused())
                : Integer.compare(a.shape().totalAccelerators(), b.shape().totalAccelerators()));
    return cells;
  }

  private static boolean isUsable(List<Spot> spots, long nowMs) {
    for (Spot spot : spots) {
      WorkerSlot worker = spot.worker();
      if (!worker.takesWork() || worker.probation || worker.notBeforeMs > nowMs) {
        return false;
      }
    }
    return !spots.isEmpty();
  }

  private static boolean hasProcessors(List<Spot> spots, Job job) {
    Set<Gang> victims = Claims.victims(spots, job);
    return victims != null && victims.isEmpty() && Claims.isFree(spots, job);
  }

  /** Exchanges the cell with an equal unused one whose whole place is free. */
  private boolean swapToFree(Cell cell, Job job, long nowMs) {
    for (Cell other : plan.unusedLike(cell.shape())) {
      if (other != cell && isWhollyFree(other) && isUsable(other.spots, nowMs)) {
        List<Spot> spots = CellFit.spots(other, job.shape, w -> w.usedMask | w.heldMask);
        if (!spots.isEmpty() && hasProcessors(spots, job)) {
          plan.swap(cell, other);
          return true;
        }
      }
    }
    return false;
  }

  private static boolean isWhollyFree(Cell cell) {
    for (Spot spot : cell.spots) {
      long mask = Runs.mask(spot.first(), cell.shape().acceleratorsPerMember());
      if (((spot.worker().usedMask | spot.worker().heldMask) & mask) != 0) {
        return false;
      }
    }
    return true;
  }

  private boolean moveToSpare(Cell cell, long nowMs) {
    List<Spot> spots =
        placement.place(
            pool, cell.shape(), View.SPARE, w -> !w.probation && w.notBeforeMs <= nowMs);
    if (spots.isEmpty()) {
      return false;
    }
    plan.move(cell, spots);
    return true;
  }

  /** Returns the place whose victims cost the least, or null if none may be stopped now. */
  @Nullable Place findReclaimable(Job job, long nowMs) {
    Place best = null;
    Cell swapWith = null;
    double bestCost = Double.MAX_VALUE;
    Cell movable = null;
    for (Cell cell : candidates(job)) {
      movable = movable == null && cell.unused() ? cell : movable;
      Place place = reclaimable(cell, cell, job, nowMs);
      double cost = place == null ? Double.MAX_VALUE : cost(place, job, nowMs);
      if (cost < bestCost) {
        best = place;
        bestCost = cost;
      }
    }
    if (movable != null) {
      List<Cell> others = plan.unusedLike(movable.shape());
      for (Cell other : others.subList(0, Math.min(COMPARED_PLACES, others.size()))) {
        Place place = reclaimable(movable, other, job, nowMs);
        double cost = place == null ? Double.MAX_VALUE : cost(place, job, nowMs);
        if (cost < bestCost) {
          best = place;
          bestCost = cost;
          swapWith = other;
        }
      }
    }
    if (best == null || !isDue(best, job, nowMs)) {
      return null;
    }
    if (swapWith != null && swapWith != best.cell()) {
      plan.swap(best.cell(), swapWith);
    }
    return best;
  }

  private static @Nullable Place reclaimable(Cell cell, Cell at, Job job, long nowMs) {
    List<Spot> spots = CellFit.spots(at, job.shape, w -> w.fixedMask | w.heldMask);
    if (!isUsable(spots, nowMs)) {
      return null;
    }
    Set<Gang> victims = Claims.victims(spots, job);
    return victims == null ? null : new Place(cell, spots, victims);
  }

  private double cost(Place place, Job job, long nowMs) {
    return victimPolicy.cost(place.victims(), job.shape.totalAccelerators(), nowMs);
  }

  /** An urgent job claims at once; others wait a while before they cost work that was done. */
  private boolean isDue(Place place, Job job, long nowMs) {
    if (job.request.spec().urgent()
        || nowMs - job.request.spec().submittedAtMs() >= Reclaim.PATIENCE_MS) {
      return true;
    }
    return place.victims().stream().allMatch(v -> victimPolicy.lostWork(v, nowMs) == 0);
  }
}
