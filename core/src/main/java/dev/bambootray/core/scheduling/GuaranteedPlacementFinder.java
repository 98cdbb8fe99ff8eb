package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds accelerators for a job within the guarantees of its workspace. */
final class GuaranteedPlacementFinder {
  /** Limit on the places of one shape that are compared for a claim. */
  private static final int COMPARED_PLACES = 64;

  private static final int COMPARED_RACKS = 16;

  private final WorkerPool pool;
  private final GuaranteePlan plan;
  private final PlacementPolicy placement;
  private final VictimPolicy victimPolicy;
  private final LossBudget losses;
  private int nextWorker;
  private int nextRack;

  GuaranteedPlacementFinder(
      WorkerPool pool,
      GuaranteePlan plan,
      PlacementPolicy placement,
      VictimPolicy victimPolicy,
      LossBudget losses) {
    this.losses = losses;
    this.pool = pool;
    this.plan = plan;
    this.placement = placement;
    this.victimPolicy = victimPolicy;
  }

  /**
   * A place for a job and the gangs that must stop first.
   *
   * @param cell the cell that the job occupies, or null if it only borrows
   * @param ranges the accelerators of the members
   * @param victims gangs that must stop first
   * @param kind the kind of grant that the job will get
   */
  record Place(
      @Nullable GuaranteedCell cell,
      List<AcceleratorRange> ranges,
      Set<Gang> victims,
      GrantKind kind) {
    /**
     * Returns the place of a job in a cell. A small repeatable job only borrows from the guarantee
     * of its workspace, so that the workspace can still claim the whole cell.
     */
    static Place of(
        GuaranteedCell cell, Job job, List<AcceleratorRange> ranges, Set<Gang> victims) {
      return usesMostOfCell(cell, job) || !job.repeatable()
          ? new Place(cell, ranges, victims, GrantKind.GUARANTEED)
          : new Place(null, ranges, victims, GrantKind.BORROWED);
    }
  }

  /** Returns whether the job uses more than half of the cell. */
  private static boolean usesMostOfCell(GuaranteedCell cell, Job job) {
    return cell.shape().totalAccelerators() < 2 * job.shape.totalAccelerators();
  }

  /**
   * Returns a place that is free now, or null. Moves an unused cell if its own place is not free.
   *
   * @param job the job
   * @param tight whether to use only cells of which the job uses more than half, so that a small
   *     job does not occupy a large guarantee while it can run elsewhere
   * @param nowMs the time
   */
  @Nullable Place findFree(Job job, boolean tight, long nowMs) {
    List<GuaranteedCell> cells = candidates(job);
    if (tight) {
      cells.removeIf(cell -> cell.shape().totalAccelerators() >= 2 * job.shape.totalAccelerators());
    }
    for (GuaranteedCell cell : cells) {
      List<AcceleratorRange> ranges =
          CellPlacement.place(cell, cell.ranges, job.shape, w -> w.usedMask | w.heldMask);
      if (isUsable(ranges, nowMs) && isFreeNow(ranges, job)) {
        return Place.of(cell, job, ranges, Set.of());
      }
    }
    for (GuaranteedCell cell : cells) {
      if (cell.unused() && (swapToFree(cell, job, nowMs) || moveToSpare(cell, nowMs))) {
        List<AcceleratorRange> ranges =
            CellPlacement.place(cell, cell.ranges, job.shape, w -> w.usedMask | w.heldMask);
        if (isUsable(ranges, nowMs) && isFreeNow(ranges, job)) {
          return Place.of(cell, job, ranges, Set.of());
        }
      }
    }
    return null;
  }

  /** Returns the bound cells that could hold the job: cells in use first, then the smallest. */
  private List<GuaranteedCell> candidates(Job job) {
    List<GuaranteedCell> cells = new ArrayList<>();
    for (GuaranteedCell cell : plan.cellsOf(job.workspace())) {
      if (cell.bound()
          && cell.shape().totalAccelerators() >= job.shape.totalAccelerators()
          && (usesMostOfCell(cell, job) || !wouldLoseWork(cell, job))) {
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

  /**
   * Returns whether borrowing the cell would put work at risk. A claim of a wide cell stops many
   * small jobs, so only jobs with checkpoints may borrow it.
   */
  private static boolean wouldLoseWork(GuaranteedCell cell, Job job) {
    return cell.shape().members() > 1
        && job.repeatable()
        && !job.request.template().checkpointable();
  }

  private static boolean isUsable(List<AcceleratorRange> ranges, long nowMs) {
    for (AcceleratorRange range : ranges) {
      PoolWorker worker = range.worker();
      if (!worker.takesWork() || worker.probation || worker.notBeforeMs > nowMs) {
        return false;
      }
    }
    return !ranges.isEmpty();
  }

  private static boolean isFreeNow(List<AcceleratorRange> ranges, Job job) {
    Set<Gang> victims = ClaimTracker.victims(ranges, job);
    return victims != null && victims.isEmpty() && ClaimTracker.isFree(ranges, job);
  }

  /** Exchanges the cell with an unused one of the same shape whose ranges are all free. */
  private boolean swapToFree(GuaranteedCell cell, Job job, long nowMs) {
    for (GuaranteedCell other : plan.unusedWithShape(cell.shape())) {
      if (other != cell && isWhollyFree(other) && isUsable(other.ranges, nowMs)) {
        List<AcceleratorRange> ranges =
            CellPlacement.place(other, other.ranges, job.shape, w -> w.usedMask | w.heldMask);
        if (!ranges.isEmpty() && isFreeNow(ranges, job)) {
          plan.swap(cell, other);
          return true;
        }
      }
    }
    return false;
  }

  private static boolean isWhollyFree(GuaranteedCell cell) {
    for (AcceleratorRange range : cell.ranges) {
      long mask = AcceleratorMasks.mask(range.first(), cell.shape().acceleratorsPerMember());
      if (((range.worker().usedMask | range.worker().heldMask) & mask) != 0) {
        return false;
      }
    }
    return true;
  }

  private boolean moveToSpare(GuaranteedCell cell, long nowMs) {
    List<AcceleratorRange> ranges =
        placement.place(
            pool,
            cell.shape(),
            CapacityView.SPARE,
            w -> !w.probation && w.notBeforeMs <= nowMs && w.reservation == null);
    if (ranges.isEmpty()) {
      return false;
    }
    plan.move(cell, ranges);
    return true;
  }

  /** Returns the place whose victims cost the least, or null if no claim is due yet. */
  @Nullable Place findReclaimable(Job job, long nowMs) {
    ClaimOption best = null;
    GuaranteedCell movable = null;
    for (GuaranteedCell cell : candidates(job)) {
      movable = movable == null && cell.unused() ? cell : movable;
      best = cheaper(best, option(cell, cell.ranges, null, job, nowMs));
    }
    if (movable != null) {
      List<GuaranteedCell> others = plan.unusedWithShape(movable.shape());
      for (GuaranteedCell other : others.subList(0, Math.min(COMPARED_PLACES, others.size()))) {
        best = cheaper(best, option(movable, other.ranges, other, job, nowMs));
      }
      if (best == null || best.cost > 0) {
        for (List<AcceleratorRange> ranges : alternativePlaces(movable)) {
          best = cheaper(best, option(movable, ranges, null, job, nowMs));
        }
      }
    }
    if (best == null || !mayClaimNow(best.place, job, nowMs)) {
      return null;
    }
    if (best.swapWith != null && best.swapWith != best.cell) {
      plan.swap(best.cell, best.swapWith);
    } else if (!best.cellRanges.equals(best.cell.ranges)) {
      plan.move(best.cell, best.cellRanges);
    }
    return best.place;
  }

  private static @Nullable ClaimOption cheaper(@Nullable ClaimOption a, @Nullable ClaimOption b) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    return b.cost < a.cost ? b : a;
  }

  private @Nullable ClaimOption option(
      GuaranteedCell cell,
      List<AcceleratorRange> cellRanges,
      @Nullable GuaranteedCell swapWith,
      Job job,
      long nowMs) {
    List<AcceleratorRange> ranges =
        CellPlacement.place(cell, cellRanges, job.shape, w -> w.nonPreemptibleMask | w.heldMask);
    Set<Gang> victims = isUsable(ranges, nowMs) ? ClaimTracker.victims(ranges, job) : null;
    if (victims == null) {
      return null;
    }
    Place place = Place.of(cell, job, ranges, victims);
    boolean stopsOwn =
        victims.stream().anyMatch(victim -> victim.job.workspace().equals(job.workspace()));
    return place.kind() == GrantKind.BORROWED && stopsOwn
        ? null
        : new ClaimOption(cell, cellRanges, swapWith, place, cost(place, job, nowMs));
  }

  /** Returns a bounded number of other places to which an unused cell could move. */
  private List<List<AcceleratorRange>> alternativePlaces(GuaranteedCell cell) {
    List<List<AcceleratorRange>> places = new ArrayList<>();
    if (cell.shape().members() == 1) {
      int count = pool.workers.size();
      for (int i = 0; i < Math.min(COMPARED_PLACES, count); i++) {
        nextWorker = (nextWorker + 1) % count;
        addPlace(places, cell, List.of(pool.workers.get(nextWorker)));
      }
    } else {
      int count = pool.racks.size();
      for (int i = 0; i < Math.min(COMPARED_RACKS, count); i++) {
        nextRack = (nextRack + 1) % count;
        addPlace(places, cell, pool.racks.get(nextRack).workers);
      }
    }
    return places;
  }

  private void addPlace(
      List<List<AcceleratorRange>> places, GuaranteedCell cell, List<PoolWorker> workers) {
    List<AcceleratorRange> ranges =
        placement.placeWithin(
            workers, cell.shape(), CapacityView.BINDABLE, worker -> worker.reservation == null);
    if (!ranges.isEmpty()) {
      places.add(ranges);
    }
  }

  private record ClaimOption(
      GuaranteedCell cell,
      List<AcceleratorRange> cellRanges,
      @Nullable GuaranteedCell swapWith,
      Place place,
      double cost) {}

  private double cost(Place place, Job job, long nowMs) {
    return victimPolicy.cost(place.victims(), job.shape.totalAccelerators(), nowMs);
  }

  /**
   * Returns whether the job may claim the place now. An urgent job may claim at once. Other jobs
   * first wait for a claim that loses no work, then for one that the loss budget allows, and
   * finally claim at any cost.
   */
  private boolean mayClaimNow(Place place, Job job, long nowMs) {
    double lostMs =
        place.victims().stream().mapToDouble(v -> victimPolicy.lostWork(v, nowMs)).sum();
    long waitedMs = nowMs - job.request.spec().submittedAtMs();
    return job.request.spec().urgent()
        || lostMs == 0
        || (waitedMs >= ReclaimTiming.BUDGETED_CLAIM_WAIT_MS && losses.allows(lostMs))
        || waitedMs >= ReclaimTiming.UNLIMITED_CLAIM_WAIT_MS;
  }
}
