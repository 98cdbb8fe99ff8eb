package dev.bambootray.core.scheduling;

/** Defines the timing of the steps by which claims reclaim borrowed capacity. */
final class ReclaimTiming {
  /** Age of a checkpoint request after which the member is throttled. */
  static final long THROTTLE_AFTER_MS = 1_500;

  /** Age of a checkpoint request after which the member is stopped; the claim starts within 5 s. */
  static final long STOP_AFTER_MS = 2_500;

  /** Percentage of its processor time that a member with a late checkpoint may use. */
  static final int THROTTLE_PERCENT = 10;

  /** Ratio of wait to promised wait above which a reservation may stop checkpointable work. */
  static final double OVERDUE_RATIO = 1.2;

  /** Ratio of wait to promised wait above which it may stop other borrowed work as well. */
  static final double LATE_RATIO = 1.6;

  /** Wait after which a non-urgent claim may lose work within the loss budget. */
  static final long BUDGETED_CLAIM_WAIT_MS = 30_000;

  /** Wait after which a claim is served at any cost, so that no guarantee starves. */
  static final long UNLIMITED_CLAIM_WAIT_MS = 900_000;

  private ReclaimTiming() {}
}
