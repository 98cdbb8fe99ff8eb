package dev.bambootray.jobs.scheduling;

/** Policy by which waiting steps are ordered and placed. */
public enum SchedulingPolicy {
  /** Order by value density, guarantees and reservations for gangs; used by the daemon. */
  STANDARD,

  /** Baseline: order of arrival; a step that does not fit blocks all later ones. */
  FIRST_FIT_IN_ORDER,

  /**
   * Baseline: order of arrival on the fullest workers; later steps overtake one that does not fit.
   */
  BEST_FIT_BACKFILL;

  /** Returns whether a step that does not fit blocks all later ones. */
  boolean isStrict() {
    return this == FIRST_FIT_IN_ORDER;
  }

  /** Returns whether runs may be stopped and workers reserved for other steps. */
  boolean isStandard() {
    return this == STANDARD;
  }
}
