package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Predicts where and when a waiting job will fit from the expected ends of running gangs. */
final class ReservationPlanner {
  /** Limit on compared racks; those with the most free accelerators come first. */
  private static final int COMPARED_RACKS = 24;

  /** Additional delay that is accepted for a place outside guaranteed cells. */
  private static final long ACCEPTED_DELAY_OUTSIDE_CELLS_MS = 120_000;

  private final WorkerPool pool;
  private final RunTimeEstimator estimates;

  ReservationPlanner(WorkerPool pool, RunTimeEstimator estimates) {
    this.pool = pool;
    this.estimates = estimates;
  }

  /**
   * Returns the earliest reservation for a job, or null if no place is expected to become free. A
   * place outside guaranteed cells is preferred, because a claim may take a cell at any time.
   */
  @Nullable Reservation plan(Job job, long nowMs) {
    Reservation spare = plan(job, CapacityView.SPARE, nowMs);
    if (!job.repeatable()) {
      return spare;
    }
    Reservation free = plan(job, CapacityView.FREE, nowMs);
    return spare != null
            && (free == null || spare.startMs() <= free.startMs() + ACCEPTED_DELAY_OUTSIDE_CELLS_MS)
        ? spare
        : free;
  }

  private @Nullable Reservation plan(Job job, CapacityView view, long nowMs) {
    Reservation best = null;
    for (List<PoolWorker> group : groups(job.shape)) {
      Reservation candidate = planIn(group, job, view, nowMs);
      if (candidate != null && (best == null || candidate.startMs() < best.startMs())) {
        best = candidate;
      }
    }
    return best;
  }

  private List<List<PoolWorker>> groups(Shape shape) {
    return switch (shape.adjacency()) {
      case ADJACENT_WORKERS, RACK ->
          racksWithMostFree(pool.racks).stream().map(rack -> rack.workers).toList();
      case FAILURE_DOMAIN ->
          pool.domains.values().stream()
              .map(racks -> AdjacencyGroups.workers(racksWithMostFree(racks)))
              .toList();
      case REGION -> List.of(AdjacencyGroups.workers(racksWithMostFree(pool.racks)));
    };
  }

  private List<RackGroup> racksWithMostFree(List<RackGroup> racks) {
    if (racks.size() <= COMPARED_RACKS) {
      return racks;
    }
    List<RackGroup> sorted = new ArrayList<>(racks);
    sorted.sort(Comparator.comparingInt(pool.free::freeInRack).reversed());
    return sorted.subList(0, COMPARED_RACKS);
  }

  private @Nullable Reservation planIn(
      List<PoolWorker> group, Job job, CapacityView view, long nowMs) {
    List<Opening> openings = new ArrayList<>();
    for (PoolWorker worker : group) {
      if (worker.takesWork() && worker.reservation == null) {
        addOpenings(openings, worker, job.shape, view, nowMs);
      }
    }
    int members = job.shape.members();
    if (openings.size() < members) {
      return null;
    }
    openings.sort(Comparator.comparingLong(Opening::atMs));
    Set<PoolWorker> workers = new LinkedHashSet<>();
    openings.subList(0, members).forEach(opening -> workers.add(opening.worker()));
    return new Reservation(job, workers, openings.get(members - 1).atMs());
  }

  /** Adds the times at which the worker can take one more member of the shape. */
  private void addOpenings(
      List<Opening> openings, PoolWorker worker, Shape shape, CapacityView view, long nowMs) {
    long protectedMask = view == CapacityView.SPARE ? worker.cellMask : 0;
    int run = shape.acceleratorsPerMember();
    long mask = worker.freeMask() & ~protectedMask;
    int fit = addNew(openings, worker, 0, AcceleratorMasks.countRuns(mask, run), nowMs);
    List<Member> members = new ArrayList<>(worker.members);
    members.sort(Comparator.comparingLong((Member m) -> expectedEndMs(m.gang, nowMs)));
    for (Member member : members) {
      mask |= member.mask() & ~protectedMask;
      fit =
          addNew(
              openings,
              worker,
              fit,
              AcceleratorMasks.countRuns(mask, run),
              expectedEndMs(member.gang, nowMs));
    }
  }

  private static int addNew(
      List<Opening> openings, PoolWorker worker, int before, int after, long atMs) {
    for (int i = before; i < after; i++) {
      openings.add(new Opening(worker, atMs));
    }
    return Math.max(before, after);
  }

  /**
   * Returns the expected end of a gang. One that has exceeded its estimate is expected to run for
   * another half of its elapsed time, because run times have heavy tails.
   */
  long expectedEndMs(Gang gang, long nowMs) {
    if (gang.step == Gang.Step.DRAINING) {
      return nowMs;
    }
    long estimateMs = Math.max(1, estimates.pessimisticMs(gang.job) - gang.job.ranMs);
    if (gang.step != Gang.Step.RUNNING) {
      return nowMs + estimateMs;
    }
    long elapsedMs = nowMs - gang.runningSinceMs;
    return elapsedMs < estimateMs ? gang.runningSinceMs + estimateMs : nowMs + elapsedMs / 2;
  }

  private record Opening(PoolWorker worker, long atMs) {}
}
