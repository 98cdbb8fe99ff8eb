package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Places a shape on the first workers, in the order of the pool, that can hold it. */
final class FirstFitPlacement implements PlacementPolicy {
  @Override
  public List<AcceleratorRange> place(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    for (List<PoolWorker> group : AdjacencyGroups.of(pool, shape)) {
      List<AcceleratorRange> ranges = fill(group, shape, view, allowed);
      if (!ranges.isEmpty()) {
        return ranges;
      }
    }
    return List.of();
  }

  @Override
  public List<AcceleratorRange> placeWithin(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    List<AcceleratorRange> ranges = fill(workers, shape, view, allowed);
    return ranges.isEmpty() || AdjacencyGroups.satisfies(ranges, shape) ? ranges : List.of();
  }

  private static List<AcceleratorRange> fill(
      List<PoolWorker> group, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    List<AcceleratorRange> ranges = new ArrayList<>(shape.members());
    for (PoolWorker worker : group) {
      if (!allowed.test(worker)) {
        continue;
      }
      int fit = Math.min(view.fit(worker, shape), shape.members() - ranges.size());
      AdjacencyGroups.take(ranges, worker, view, shape, fit);
      if (ranges.size() == shape.members()) {
        return ranges;
      }
    }
    return List.of();
  }
}
