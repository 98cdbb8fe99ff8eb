package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import it.unimi.dsi.fastutil.ints.IntRBTreeSet;
import it.unimi.dsi.fastutil.ints.IntSortedSet;
import java.util.ArrayList;
import java.util.List;

/** Computes the sets of workers over which the members of one gang may be spread. */
final class AdjacencyGroups {
  private AdjacencyGroups() {}

  /** Returns the candidate sets for a shape, each in the order of the pool. */
  static List<List<PoolWorker>> of(WorkerPool pool, Shape shape) {
    if (shape.members() == 1) {
      return List.of(pool.workers);
    }
    return switch (shape.adjacency()) {
      case ADJACENT_WORKERS -> windows(pool, shape.members());
      case RACK -> pool.racks.stream().map(rack -> rack.workers).toList();
      case FAILURE_DOMAIN -> pool.domains.values().stream().map(AdjacencyGroups::workers).toList();
      case REGION -> List.of(pool.workers);
    };
  }

  /** Returns the workers of several racks. */
  static List<PoolWorker> workers(List<RackGroup> racks) {
    List<PoolWorker> workers = new ArrayList<>();
    racks.forEach(rack -> workers.addAll(rack.workers));
    return workers;
  }

  /** Adds one range on the worker for each of the given number of members. */
  static void take(
      List<AcceleratorRange> ranges,
      PoolWorker worker,
      CapacityView view,
      Shape shape,
      int members) {
    long mask = view.mask(worker);
    int length = shape.acceleratorsPerMember();
    for (int i = 0; i < members; i++) {
      int first = AcceleratorMasks.bestFit(mask, length);
      ranges.add(new AcceleratorRange(worker, first));
      mask &= ~AcceleratorMasks.mask(first, length);
    }
  }

  /** Returns the windows of adjacent workers, at most one worker for each member. */
  private static List<List<PoolWorker>> windows(WorkerPool pool, int members) {
    List<List<PoolWorker>> windows = new ArrayList<>();
    for (RackGroup rack : pool.racks) {
      List<PoolWorker> workers = rack.workers;
      for (int size = 1; size <= Math.min(members, workers.size()); size++) {
        for (int from = 0; from + size <= workers.size(); from++) {
          if (adjacent(workers, from, size)) {
            windows.add(workers.subList(from, from + size));
          }
        }
      }
    }
    return windows;
  }

  /** Returns whether the workers have consecutive positions in their rack. */
  static boolean adjacent(List<PoolWorker> workers, int from, int size) {
    return workers.get(from + size - 1).position - workers.get(from).position == size - 1;
  }

  /** Returns whether the ranges meet the adjacency that the shape requires. */
  static boolean satisfies(List<AcceleratorRange> ranges, Shape shape) {
    RackGroup rack = ranges.get(0).worker().rack;
    return switch (shape.adjacency()) {
      case REGION -> true;
      case FAILURE_DOMAIN ->
          ranges.stream().allMatch(s -> s.worker().rack.domain.equals(rack.domain));
      case RACK -> ranges.stream().allMatch(s -> s.worker().rack == rack);
      case ADJACENT_WORKERS ->
          ranges.stream().allMatch(s -> s.worker().rack == rack) && neighbours(ranges);
    };
  }

  private static boolean neighbours(List<AcceleratorRange> ranges) {
    IntSortedSet positions = new IntRBTreeSet();
    ranges.forEach(s -> positions.add(s.worker().position));
    return positions.lastInt() - positions.firstInt() == positions.size() - 1;
  }
}
