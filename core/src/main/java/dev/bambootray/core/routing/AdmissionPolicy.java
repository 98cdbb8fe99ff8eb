package dev.bambootray.core.routing;

import dev.bambootray.core.model.RequestError;
import org.jspecify.annotations.Nullable;

/** Decides on arrival whether a request may wait for a slot. */
interface AdmissionPolicy {

  /** Returns why a request is refused, or null if it may wait. */
  @Nullable RequestError check(RouterState state, PendingRequest request, long nowMs);
}
