package dev.bambootray.core.routing;

/** Decides how many requests a target runs at a time. */
interface ConcurrencyPolicy {

  /** Returns how many requests the target may run at a time, between 1 and its slots. */
  int limit(Target target);
}
