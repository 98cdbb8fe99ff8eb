package dev.bambootray.core.routing;

/** Decides when a second run of a repeatable request is started beside the first. */
interface HedgePolicy {

  /** Returns when a run that is sent now is hedged, or {@link Run#NEVER}. */
  long hedgeAtMs(RouterState state, Run run, long nowMs);

  /** Returns whether a run whose hedge is due is hedged now. */
  boolean shouldHedge(Run run, long nowMs);
}
