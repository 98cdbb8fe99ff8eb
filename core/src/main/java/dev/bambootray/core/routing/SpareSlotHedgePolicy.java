package dev.bambootray.core.routing;

/**
 * Hedges a run after the declared quantile of run time, but only while enough slots are free: at
 * high load the second runs of long requests would take the slots of queued requests.
 */
final class SpareSlotHedgePolicy implements HedgePolicy {
  /** Share of the usable slots that must be free. */
  private static final double SPARE_SHARE = 0.15;

  @Override
  public long hedgeAtMs(RouterState state, Run run, long nowMs) {
    double quantile = state.policy().hedgeAfterQuantile();
    PendingRequest request = run.request;
    if (!request.isRepeatable()
        || request.hedged
        || quantile >= 1
        || !request.runTimes.hasQuantiles()) {
      return Run.NEVER;
    }
    return nowMs + request.runTimes.quantileMs(quantile);
  }

  @Override
  public boolean shouldHedge(Run run, long nowMs) {
    ServicePool pool = run.request.pool;
    return pool.queue.size() == 0 && pool.freeSlots() >= Math.max(1, SPARE_SHARE * pool.capacity());
  }
}
