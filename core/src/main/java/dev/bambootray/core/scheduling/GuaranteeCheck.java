package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checks offline whether all guarantees of a region can be placed at once. */
public final class GuaranteeCheck {
  private GuaranteeCheck() {}

  /**
   * Returns the guarantees of a region that cannot all be placed on its declared workers.
   *
   * <p>The check places the shapes with the fewest possible places first. It never accepts a
   * declaration that cannot be placed, but may refuse one that only an exhaustive search could
   * place.
   *
   * @param declaration the declaration
   * @param region the region
   * @return each guarantee with instances that cannot be placed; empty if all can be placed
   */
  public static List<MissingGuarantee> missing(Declaration declaration, RegionId region) {
    WorkerPool pool = WorkerPool.of(declaration, region);
    for (PoolWorker worker : pool.workers) {
      worker.joined = true;
      pool.refresh(worker);
    }
    GuaranteePlan plan = new GuaranteePlan(pool);
    plan.declare(declaration, region);
    plan.repair();
    return missing(plan);
  }

  /** Returns the guarantees of a plan that have unbound cells. */
  static List<MissingGuarantee> missing(GuaranteePlan plan) {
    Map<BrokenKey, Integer> counts = new LinkedHashMap<>();
    for (GuaranteedCell cell : plan.broken()) {
      counts.merge(new BrokenKey(cell.workspace, cell.guarantee), 1, Integer::sum);
    }
    List<MissingGuarantee> missing = new ArrayList<>();
    counts.forEach(
        (key, count) ->
            missing.add(
                new MissingGuarantee(
                    key.workspace, key.guarantee, count, describe(count, key.guarantee.shape()))));
    return missing;
  }

  private static String describe(int count, Shape shape) {
    return "cannot place " + count + " of " + describe(shape);
  }

  /** Returns a shape in words. */
  static String describe(Shape shape) {
    return shape.members()
        + " x "
        + shape.acceleratorsPerMember()
        + " adjacent accelerators with "
        + shape.millicoresPerMember()
        + " millicores and "
        + shape.memoryMibPerMember()
        + " MiB each, over "
        + shape.adjacency().name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private record BrokenKey(WorkspaceId workspace, Guarantee guarantee) {}
}
