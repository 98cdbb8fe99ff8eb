package dev.bambootray.core.scheduling;

/** Timing of the steps by which a claim takes borrowed capacity back. */
final class Reclaim {
  /** Age of a checkpoint request after which the member is throttled. */
  static final long THROTTLE_AFTER_MS = 1_500;

  /** Age of a checkpoint request after which the member is stopped; the claim starts within 5 s. */
  static final long STOP_AFTER_MS = 2_500;

  /** Processor share of a member whose checkpoint is late. */
  static final int THROTTLE_PERCENT = 10;

  /** Wait over promised wait after which checkpointable work is stopped for a reservation. */
  static final double OVERDUE_RATIO = 1.2;

  /** Wait over promised wait after which other borrowed work is stopped as well. */
  static final double LATE_RATIO = 1.6;

  /** Wait after which a claim that is not urgent may cost work that was done. */
  static final long PATIENCE_MS = 30_000;

  /** Wait after which a claim is served whatever it costs, so that no guarantee starves. */
  static final long LAST_PATIENCE_MS = 900_000;

  private Reclaim() {}
}
