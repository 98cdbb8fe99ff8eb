package dev.bambootray.core.routing;

import org.jspecify.annotations.Nullable;

/** Chooses the target of a run. */
interface TargetSelector {

  /**
   * Returns an open target with a free slot, or null if the request should wait.
   *
   * @param excluded a target that must not be chosen, or null
   */
  @Nullable Target choose(
      RouterState state, PendingRequest request, @Nullable Target excluded, long nowMs);
}
