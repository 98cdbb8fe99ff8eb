package dev.bambootray.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the open target with the fewest runs, preferring targets on which the request has not
 * failed and then targets whose last run succeeded.
 */
final class LeastLoadedTarget implements TargetChoice {
  private static final double FAILED_BEFORE = 1_000_000;
  private static final double FAILING = 1_000;

  @Override
  public @Nullable Target choose(RouterState state, PendingRequest request, long nowMs) {
    List<Target> targets = request.pool.targets;
    if (targets.isEmpty()) {
      return null;
    }
    int offset = state.random.nextInt(targets.size());
    Target best = null;
    double bestCost = Double.MAX_VALUE;
    for (int i = 0; i < targets.size(); i++) {
      int index = i + offset;
      Target target = targets.get(index < targets.size() ? index : index - targets.size());
      if (target.freeSlots() > 0) {
        double cost = cost(request, target);
        if (cost < bestCost) {
          best = target;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  private static double cost(PendingRequest request, Target target) {
    double cost = target.runs.size();
    if (target.failureStreak > 0) {
      cost += FAILING * target.failureStreak;
    }
    if (request.hasFailedOn(target)) {
      cost += FAILED_BEFORE;
    }
    return cost;
  }
}
