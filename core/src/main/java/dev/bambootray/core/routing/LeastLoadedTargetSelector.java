package dev.bambootray.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the open target with the fewest runs, preferring targets on which the request has not
 * failed and then targets whose last run succeeded. A slow target is used only if waiting for a
 * faster one is expected to take longer, and occasionally to find out whether it has recovered.
 */
final class LeastLoadedTargetSelector implements TargetSelector {
  private static final double FAILED_BEFORE_COST = 1_000_000;
  private static final double FAILING_COST = 1_000;

  private static final double DUE_COST_REDUCTION = 0.5;

  /**
   * Time before a failing target is tried again, multiplied by its failure streak, in milliseconds.
   */
  private static final long RETRY_FAILING_MS = 200;

  /** Minimum time between two trial runs on a slow target, in milliseconds. */
  private static final long EXPLORE_SLOW_MS = 2_000;

  /**
   * Minimum number of other runs between two trial runs, which keeps them far below 1% of the
   * requests.
   */
  private static final int EXPLORE_SLOW_SENDS = 300;

  @Override
  public @Nullable Target choose(
      RouterState state, PendingRequest request, @Nullable Target excluded, long nowMs) {
    ServicePool pool = request.pool;
    Target best = pool.ready.leastLoaded(request, excluded, state.random);
    double bestCost = best == null ? Double.MAX_VALUE : best.usedSlots();
    List<Target> suspects = pool.ready.suspects();
    for (int i = 0; i < suspects.size(); i++) {
      Target target = suspects.get(i);
      if (target != excluded && mayUse(request, target, nowMs)) {
        double cost = cost(request, target, nowMs);
        if (cost < bestCost) {
          best = target;
          bestCost = cost;
        }
      }
    }
    if (best == null) {
      return pool.ready.any(excluded);
    }
    if (best.isSlow()) {
      pool.sendsSinceExploration = 0;
    }
    return best;
  }

  private static boolean mayUse(PendingRequest request, Target target, long nowMs) {
    ServicePool pool = request.pool;
    if (target.isPaced() && nowMs - target.lastSentAtMs < pool.meanRunMs()) {
      return false;
    }
    return !target.isSlow() || mayUseSlow(request, target, pool.queueWaitMs(), nowMs);
  }

  private static boolean mayUseSlow(
      PendingRequest request, Target target, double queueWaitMs, long nowMs) {
    ServicePool pool = request.pool;
    if (queueWaitMs > (target.slowness() - 1) * pool.meanRunMs()) {
      return true;
    }
    return request.isRepeatable()
        && target.usedSlots() == 0
        && pool.sendsSinceExploration >= EXPLORE_SLOW_SENDS
        && nowMs - target.lastSentAtMs >= EXPLORE_SLOW_MS;
  }

  private static double cost(PendingRequest request, Target target, long nowMs) {
    if (target.isSlow()) {
      // A slow target that may be used goes first; otherwise it would never be chosen.
      return -1;
    }
    int streak = target.failureStreak();
    // A failing target whose retry is due wins ties; otherwise it would never be tried at low load.
    double cost = target.usedSlots() - DUE_COST_REDUCTION;
    if (nowMs - target.lastSentAtMs < RETRY_FAILING_MS * streak) {
      cost += FAILING_COST * streak;
    }
    if (request.hasFailedOn(target)) {
      cost += FAILED_BEFORE_COST;
    }
    return cost;
  }
}
