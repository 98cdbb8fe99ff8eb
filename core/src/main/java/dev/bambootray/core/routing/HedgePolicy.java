package dev.bambootray.core.routing;

/**
 * Decides when a repeatable request is hedged, that is, gets a second run while the first one still
 * runs.
 */
interface HedgePolicy {

  /** Returns when to hedge a run that is sent now, or {@link Run#NEVER}. */
  long hedgeAtMs(RouterState state, Run run, long nowMs);

  /** Returns whether to hedge a run now that its hedge time has come. */
  boolean shouldHedge(Run run, long nowMs);
}
