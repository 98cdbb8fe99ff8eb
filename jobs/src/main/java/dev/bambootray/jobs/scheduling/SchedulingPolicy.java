package dev.bambootray.jobs.scheduling;

/** How waiting steps are ordered and placed. */
public enum SchedulingPolicy {
  /** Value for work, guarantees, places kept for gangs; what the daemon uses. */
  STANDARD,

  /** Order of arrival; a step that does not fit holds up all later ones. A baseline. */
  FIRST_FIT_IN_ORDER,

  /**
   * Order of arrival; later steps pass one that does not fit, on the fullest workers. A baseline.
   */
  BEST_FIT_BACKFILL;

  /** Returns whether steps wait behind an earlier one that does not fit. */
  boolean isStrict() {
    return this == FIRST_FIT_IN_ORDER;
  }

  /** Returns whether runs are stopped and workers kept free for others. */
  boolean isStandard() {
    return this == STANDARD;
  }
}
