package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Places a shape on the first workers, in the order of the pool, that can hold it. */
final class FirstFitPlacement implements PlacementPolicy {
  @Override
  public List<Spot> place(Pool pool, Shape shape, View view, Predicate<WorkerSlot> allowed) {
    for (List<WorkerSlot> group : Groups.of(pool, shape)) {
      List<Spot> spots = fill(group, shape, view, allowed);
      if (!spots.isEmpty()) {
        return spots;
      }
    }
    return List.of();
  }

  @Override
  public List<Spot> placeWithin(
      List<WorkerSlot> workers, Shape shape, View view, Predicate<WorkerSlot> allowed) {
    List<Spot> spots = fill(workers, shape, view, allowed);
    return spots.isEmpty() || Groups.satisfies(spots, shape) ? spots : List.of();
  }

  private static List<Spot> fill(
      List<WorkerSlot> group, Shape shape, View view, Predicate<WorkerSlot> allowed) {
    List<Spot> spots = new ArrayList<>(shape.members());
    for (WorkerSlot worker : group) {
      if (!allowed.test(worker)) {
        continue;
      }
      int fit = Math.min(view.fit(worker, shape), shape.members() - spots.size());
      Groups.take(spots, worker, view, shape, fit);
      if (spots.size() == shape.members()) {
        return spots;
      }
    }
    return List.of();
  }
}
