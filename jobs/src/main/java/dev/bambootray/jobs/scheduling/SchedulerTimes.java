package dev.bambootray.jobs.scheduling;

/**
 * Holds the intervals and time limits of the scheduler, in milliseconds.
 *
 * @param leaseMs length of the lease on a worker's runs, measured by the worker's clock
 * @param leaseLimitMs longest lease that a worker grants, whatever an order says
 * @param holdWaitMs longest time for which a worker keeps a long poll open until a run ends
 * @param ownershipMaxAgeMs time since the beginning of the newest transaction that was applied
 *     after which no start order is sent, as another owner may have taken over
 * @param orphanLeaseMs how long runs started by an earlier owner may continue on an unreachable
 *     worker
 * @param stallMs time without progress after which a run counts as stalled
 * @param retryMs delay before a failed call to a worker is retried
 * @param keepFinishedMs retention time of finished jobs
 * @param declarationMaxAgeMs age of the last confirmation of the declaration after which no run is
 *     started
 */
public record SchedulerTimes(
    long leaseMs,
    long leaseLimitMs,
    long holdWaitMs,
    long ownershipMaxAgeMs,
    long orphanLeaseMs,
    long stallMs,
    long retryMs,
    long keepFinishedMs,
    long declarationMaxAgeMs) {
  /** Time limit of an order to a worker, after which its sender gives it up. */
  public static final long ORDER_TIMEOUT_MS = 300;

  /** Time after the last renewal of an owner before which no other node may claim the pool. */
  public static final long SHORTEST_EXPIRY_MS = 1_300;

  /** Time limit of a list of a worker's runs, besides the time for which the worker may wait. */
  public static final long LIST_TIMEOUT_MS = 900;

  // An owner that cannot reach the store continues for this long before it gives up (JobNode), so
  // a successor adds this time to the lease of orphaned runs.
  private static final long OWNER_WITHOUT_STORE_MS = 6_000;
  private static final long DEFAULT_LEASE_MS = 6_000;
  // Worker clocks may run 2% slow; the rest covers rounding and message latency.
  private static final double LEASE_MARGIN = 1.04;

  /** Returns the default times, with leases capped at the platform's limit. */
  public static SchedulerTimes withLeaseLimit(long leaseLimitMs) {
    long leaseMs = Math.min(DEFAULT_LEASE_MS, leaseLimitMs);
    return new SchedulerTimes(
        leaseMs,
        leaseLimitMs,
        1_200,
        SHORTEST_EXPIRY_MS,
        (long) (leaseMs * LEASE_MARGIN) + OWNER_WITHOUT_STORE_MS,
        3_500,
        300,
        600_000,
        Long.MAX_VALUE);
  }

  /** Returns these times with another maximum age of the declaration. */
  public SchedulerTimes withDeclarationMaxAge(long maxAgeMs) {
    return new SchedulerTimes(
        leaseMs,
        leaseLimitMs,
        holdWaitMs,
        ownershipMaxAgeMs,
        orphanLeaseMs,
        stallMs,
        retryMs,
        keepFinishedMs,
        maxAgeMs);
  }

  /** Returns the longest time that a lease can last by the owner's clock. */
  long leaseBoundMs() {
    return bound(leaseMs);
  }

  /**
   * Returns the longest time that a lease can last if the order may have reached a worker that had
   * restarted: its clock has begun anew, so the end of the lease lies far ahead of it.
   */
  long restartedLeaseBoundMs() {
    return bound(leaseLimitMs);
  }

  private static long bound(long lengthMs) {
    return (long) (lengthMs * LEASE_MARGIN) + 100;
  }

  /** Returns how long an owner that cannot reach the store keeps its workers. */
  public long ownerWithoutStoreMs() {
    return OWNER_WITHOUT_STORE_MS;
  }
}
