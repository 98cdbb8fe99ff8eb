package dev.bambootray.core.routing;

/** Decides whether a failing target is taken out of use. */
interface EjectionPolicy {

  /** Returns whether a target that has just failed a run is to be ejected. */
  boolean shouldEject(Target target, double maxShare);
}
