package dev.bambootray.core.routing;

/** Decides how many requests a target runs at a time. */
interface ConcurrencyPolicy {

  /** Returns the limit for a target, 1 to its slots. */
  int limit(Target target);
}
