package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.Shape;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Places a shape on the shortest run, the fullest worker and the fullest rack that can hold it, so
 * that the longest runs and the emptiest racks stay available to other jobs.
 */
final class BestFitPlacement implements PlacementPolicy {
  /** Limit on compared workers per run length; more would cost time and gain little. */
  private static final int COMPARED_WORKERS = 32;

  @Override
  public List<AcceleratorRange> place(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    if (shape.members() == 1) {
      PoolWorker worker = bestWorker(pool, shape, view, allowed);
      return worker == null ? List.of() : take(List.of(worker), shape, view, allowed);
    }
    return switch (shape.adjacency()) {
      case ADJACENT_WORKERS, RACK -> inRack(pool, shape, view, allowed);
      case FAILURE_DOMAIN -> inRackGroup(pool.domains.values(), shape, view, allowed);
      case REGION -> {
        List<AcceleratorRange> ranges = inRackGroup(pool.domains.values(), shape, view, allowed);
        yield ranges.isEmpty() ? inRackGroup(List.of(pool.racks), shape, view, allowed) : ranges;
      }
    };
  }

  @Override
  public List<AcceleratorRange> placeWithin(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    return shape.members() > 1 && shape.adjacency() == Adjacency.ADJACENT_WORKERS
        ? inWindow(workers, shape, view, allowed)
        : take(workers, shape, view, allowed);
  }

  private static @Nullable PoolWorker bestWorker(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    FreeCapacityIndex index = pool.index(view);
    if (index == null) {
      return scan(pool, shape, view, allowed);
    }
    for (int run = shape.acceleratorsPerMember(); run <= AcceleratorMasks.MAX_ACCELERATORS; run++) {
      BitSet candidates = index.withLongestRun(run);
      PoolWorker best = null;
      int bestScore = Integer.MAX_VALUE;
      int compared = 0;
      for (int i = candidates.nextSetBit(0);
          i >= 0 && compared < COMPARED_WORKERS;
          i = candidates.nextSetBit(i + 1)) {
        PoolWorker worker = pool.workers.get(i);
        if (allowed.test(worker) && view.fit(worker, shape) > 0) {
          compared++;
          int score = index.freeInRack(worker.rack) + index.freeOn(worker);
          if (score < bestScore) {
            best = worker;
            bestScore = score;
          }
        }
      }
      if (best != null) {
        return best;
      }
    }
    return null;
  }

  private static @Nullable PoolWorker scan(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    PoolWorker best = null;
    int bestOpen = Integer.MAX_VALUE;
    for (PoolWorker worker : pool.workers) {
      int open = Long.bitCount(view.mask(worker));
      if (open < bestOpen
          && open >= shape.acceleratorsPerMember()
          && allowed.test(worker)
          && view.fit(worker, shape) > 0) {
        best = worker;
        bestOpen = open;
        if (open == shape.acceleratorsPerMember()) {
          return best;
        }
      }
    }
    return best;
  }

  private static List<AcceleratorRange> inRack(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    for (RackGroup rack : candidates(pool, pool.racks, shape, view)) {
      List<AcceleratorRange> ranges =
          shape.adjacency() == Adjacency.RACK
              ? take(rack.workers, shape, view, allowed)
              : inWindow(rack.workers, shape, view, allowed);
      if (!ranges.isEmpty()) {
        return ranges;
      }
    }
    return List.of();
  }

  /** Returns the racks with enough available accelerators, fullest first. */
  private static List<RackGroup> candidates(
      WorkerPool pool, List<RackGroup> racks, Shape shape, CapacityView view) {
    FreeCapacityIndex index = pool.index(view);
    ToIntFunction<RackGroup> open = index == null ? rack -> count(rack, view) : index::freeInRack;
    List<RackGroup> candidates = new ArrayList<>();
    for (RackGroup rack : racks) {
      if (open.applyAsInt(rack) >= shape.totalAccelerators()) {
        candidates.add(rack);
      }
    }
    candidates.sort(Comparator.comparingInt(open));
    return candidates;
  }

  private static int count(RackGroup rack, CapacityView view) {
    return rack.workers.stream().mapToInt(w -> Long.bitCount(view.mask(w))).sum();
  }

  /**
   * Places the shape on the shortest window of adjacent workers, then the one with least left over.
   */
  private static List<AcceleratorRange> inWindow(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    int[] fits = fits(workers, shape, view, allowed);
    int bestFrom = -1;
    int bestSize = Integer.MAX_VALUE;
    int bestFit = Integer.MAX_VALUE;
    for (int from = 0; from < workers.size(); from++) {
      int sum = 0;
      for (int to = from; to < workers.size() && fits[to] > 0; to++) {
        sum += fits[to];
        int size = to - from + 1;
        if (!AdjacencyGroups.adjacent(workers, from, size)) {
          break;
        }
        if (sum >= shape.members()) {
          if (size < bestSize || (size == bestSize && sum < bestFit)) {
            bestFrom = from;
            bestSize = size;
            bestFit = sum;
          }
          break;
        }
      }
    }
    return bestFrom < 0
        ? List.of()
        : takeInOrder(workers.subList(bestFrom, bestFrom + bestSize), shape, view, allowed);
  }

  private static List<AcceleratorRange> takeInOrder(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    int[] fits = fits(workers, shape, view, allowed);
    List<AcceleratorRange> ranges = new ArrayList<>(shape.members());
    for (int i = 0; i < fits.length; i++) {
      int members = Math.min(fits[i], shape.members() - ranges.size());
      AdjacencyGroups.take(ranges, workers.get(i), view, shape, members);
    }
    return ranges;
  }

  private static List<AcceleratorRange> inRackGroup(
      Iterable<List<RackGroup>> groups,
      Shape shape,
      CapacityView view,
      Predicate<PoolWorker> allowed) {
    List<RackGroup> best = List.of();
    int[] bestFits = {};
    int bestSum = Integer.MAX_VALUE;
    for (List<RackGroup> racks : groups) {
      int[] fits = new int[racks.size()];
      int sum = 0;
      for (int i = 0; i < fits.length; i++) {
        for (int fit : fits(racks.get(i).workers, shape, view, allowed)) {
          fits[i] += fit;
        }
        sum += fits[i];
      }
      if (sum >= shape.members() && sum < bestSum) {
        best = racks;
        bestFits = fits;
        bestSum = sum;
      }
    }
    if (best.isEmpty()) {
      return List.of();
    }
    int[] shares = distribute(bestFits, shape.members());
    List<AcceleratorRange> ranges = new ArrayList<>(shape.members());
    for (int i = 0; i < shares.length; i++) {
      if (shares[i] > 0) {
        ranges.addAll(take(best.get(i).workers, withMembers(shape, shares[i]), view, allowed));
      }
    }
    return ranges;
  }

  private static Shape withMembers(Shape shape, int members) {
    return new Shape(
        members,
        shape.acceleratorsPerMember(),
        shape.millicoresPerMember(),
        shape.memoryMibPerMember(),
        shape.adjacency());
  }

  private static List<AcceleratorRange> take(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    int[] shares = distribute(fits(workers, shape, view, allowed), shape.members());
    List<AcceleratorRange> ranges = new ArrayList<>(shape.members());
    for (int i = 0; i < shares.length; i++) {
      AdjacencyGroups.take(ranges, workers.get(i), view, shape, shares[i]);
    }
    return ranges;
  }

  private static int[] fits(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    int[] fits = new int[workers.size()];
    for (int i = 0; i < fits.length; i++) {
      PoolWorker worker = workers.get(i);
      fits[i] = allowed.test(worker) ? view.fit(worker, shape) : 0;
    }
    return fits;
  }

  /**
   * Distributes members over units (workers or racks) so that the fewest units are used: the
   * largest units are filled completely and the remainder goes to the smallest unit that holds it.
   * Returns an empty array if the members do not fit.
   */
  private static int[] distribute(int[] fits, int members) {
    int[] shares = new int[fits.length];
    int rest = members;
    while (rest > 0) {
      int chosen = -1;
      for (int i = 0; i < fits.length; i++) {
        if (shares[i] == 0
            && fits[i] > 0
            && (chosen < 0 || isBetterFit(fits[i], fits[chosen], rest))) {
          chosen = i;
        }
      }
      if (chosen < 0) {
        return new int[0];
      }
      shares[chosen] = Math.min(rest, fits[chosen]);
      rest -= shares[chosen];
    }
    return shares;
  }

  private static boolean isBetterFit(int fit, int other, int rest) {
    if (fit >= rest && other >= rest) {
      return fit < other;
    }
    return fit > other;
  }
}
