package dev.bambootray.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the open target with the fewest runs, preferring targets on which the request has not
 * failed and then targets whose last run succeeded. A slow target is used only if waiting for a
 * faster one is expected to take longer, and now and then to learn whether it has recovered.
 */
final class LeastLoadedTarget implements TargetChoice {
  private static final double FAILED_BEFORE = 1_000_000;
  private static final double FAILING = 1_000;

  /** A failing target is tried again after this time for each failure, in milliseconds. */
  private static final long RETRY_FAILING_MS = 200;

  /** Least time between two tries of a slow target, in milliseconds. */
  private static final long EXPLORE_SLOW_MS = 2_000;

  /** Least number of runs between two tries, so that they stay far below 1% of the requests. */
  private static final int EXPLORE_SLOW_SENDS = 300;

  @Override
  public @Nullable Target choose(
      RouterState state, PendingRequest request, @Nullable Target excluded, long nowMs) {
    ServicePool pool = request.pool;
    List<Target> targets = pool.targets;
    int size = targets.size();
    if (size == 0) {
      return null;
    }
    int offset = state.random.nextInt(size);
    double queueWaitMs = pool.queueWaitMs();
    Target best = null;
    double bestCost = Double.MAX_VALUE;
    for (int i = 0; i < size; i++) {
      int index = i + offset;
      Target target = targets.get(index < size ? index : index - size);
      if (target != excluded
          && target.freeSlots() > 0
          && (!target.isPaced() || nowMs - target.lastSentAtMs >= pool.meanRunMs())
          && (!target.isSlow() || mayUseSlow(request, target, queueWaitMs, nowMs))) {
        double cost = cost(request, target, nowMs);
        if (cost < bestCost) {
          best = target;
          bestCost = cost;
        }
      }
    }
    if (best != null && best.isSlow()) {
      pool.sendsSinceExploration = 0;
    }
    return best;
  }

  private static boolean mayUseSlow(
      PendingRequest request, Target target, double queueWaitMs, long nowMs) {
    ServicePool pool = request.pool;
    if (queueWaitMs > (target.slowness() - 1) * pool.meanRunMs()) {
      return true;
    }
    return request.isRepeatable()
        && target.used() == 0
        && pool.sendsSinceExploration >= EXPLORE_SLOW_SENDS
        && nowMs - target.lastSentAtMs >= EXPLORE_SLOW_MS;
  }

  private static double cost(PendingRequest request, Target target, long nowMs) {
    if (target.isSlow()) {
      // A slow target that may be used at all is tried at once, or it would never be tried.
      return -1;
    }
    double cost = target.used();
    int streak = target.failureStreak;
    if (streak > 0 && nowMs - target.lastSentAtMs < RETRY_FAILING_MS * streak) {
      cost += FAILING * streak;
    }
    if (request.hasFailedOn(target)) {
      cost += FAILED_BEFORE;
    }
    return cost;
  }
}
