package dev.bambootray.core.routing;

/** Decides whether a target whose runs fail stays in use. */
interface EjectionPolicy {

  /** How a failing target is treated. */
  enum Action {
    /** The target stays in use. */
    KEEP,
    /**
     * The target fails more than the others, but too many are ejected already; it gets one run at a
     * time.
     */
    PACE,
    /** The target gets no requests until it is readmitted. */
    EJECT
  }

  /** Returns the action for a target that has just failed a run. */
  Action actionFor(Target target, double maxShare);
}
