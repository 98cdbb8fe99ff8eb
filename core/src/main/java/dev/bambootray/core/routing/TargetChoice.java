package dev.bambootray.core.routing;

import org.jspecify.annotations.Nullable;

/** Chooses the target of a run. */
interface TargetChoice {

  /** Returns an open target with a free slot, or null if the request should wait. */
  @Nullable Target choose(RouterState state, PendingRequest request, long nowMs);
}
