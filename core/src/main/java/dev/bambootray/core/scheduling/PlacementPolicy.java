package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import java.util.List;
import java.util.function.Predicate;

/** Chooses the accelerators for the members of a shape. */
interface PlacementPolicy {
  /**
   * Chooses accelerators for every member of a shape.
   *
   * @param pool the pool
   * @param shape the shape
   * @param view which part of each worker may be used
   * @param allowed which workers may be used
   * @return one range for each member, or an empty list if the shape does not fit
   */
  List<AcceleratorRange> place(
      WorkerPool pool, Shape shape, CapacityView view, Predicate<PoolWorker> allowed);

  /**
   * Chooses accelerators on the given workers, which are all workers of one rack or a single one.
   *
   * @param workers the workers
   * @param shape the shape
   * @param view which part of each worker may be used
   * @param allowed which workers may be used
   * @return one range for each member, or an empty list if the shape does not fit
   */
  List<AcceleratorRange> placeWithin(
      List<PoolWorker> workers, Shape shape, CapacityView view, Predicate<PoolWorker> allowed);
}
