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
      List<AcceleratorRange> spots = fill(group, shape, view, allowed);
      if (!spots.isEmpty()) {
        return spots;
      }
    }
    return List.of();
  }

  @Override
  public List<AcceleratorRange> placeWithin(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    List<AcceleratorRange> spots = fill(workers, shape, view, allowed);
    return spots.isEmpty() || AdjacencyGroups.satisfies(spots, shape) ? spots : List.of();
  }

  private static List<AcceleratorRange> fill(
      List<PoolWorker> group, Shape shape, CapacityView view, Predicate<PoolWorker> allowed) {
    List<AcceleratorRange> spots = new ArrayList<>(shape.members());
    for (PoolWorker worker : group) {
      if (!allowed.test(worker)) {
        continue;
      }
      int fit = Math.min(view.fit(worker, shape), shape.members() - spots.size());
      AdjacencyGroups.take(spots, worker, view, shape, fit);
      if (spots.size() == shape.members()) {
        return spots;
      }
    }
    return List.of();
  }
}
