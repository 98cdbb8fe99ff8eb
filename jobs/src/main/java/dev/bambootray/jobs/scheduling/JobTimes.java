package dev.bambootray.jobs.scheduling;

/**
 * Times and limits of the scheduler, in milliseconds.
 *
 * @param leaseMs lease of runs on a worker, counted by the worker's clock
 * @param holdWaitMs how long a worker may keep a call open until a run ends
 * @param orderMaxAgeMs age after which a start is not sent any more
 * @param orphanLeaseMs how long runs of an earlier owner may go on at a worker that is out of reach
 * @param stallMs time without progress after which a run counts as stalled
 * @param retryMs pause before a failed call to a worker is repeated
 * @param keepFinishedMs how long finished jobs stay readable
 */
public record JobTimes(
    long leaseMs,
    long holdWaitMs,
    long orderMaxAgeMs,
    long orphanLeaseMs,
    long stallMs,
    long retryMs,
    long keepFinishedMs) {
  // An owner without the store goes on for this long; a successor waits it out (JobNode).
  private static final long OWNER_WITHOUT_STORE_MS = 6_000;
  private static final long DEFAULT_LEASE_MS = 6_000;
  // Worker clocks may run 2% slow; the rest covers rounding and the way of a message.
  private static final double LEASE_MARGIN = 1.04;

  /** Returns the defaults under a platform's limit on leases. */
  public static JobTimes within(long leaseLimitMs) {
    long leaseMs = Math.min(DEFAULT_LEASE_MS, leaseLimitMs);
    return new JobTimes(
        leaseMs,
        1_200,
        1_000,
        (long) (leaseMs * LEASE_MARGIN) + OWNER_WITHOUT_STORE_MS,
        3_500,
        300,
        600_000);
  }

  /** Returns how long a lease may last by the owner's clock. */
  long leaseBoundMs() {
    return (long) (leaseMs * LEASE_MARGIN) + 100;
  }

  /** Returns how long an owner that cannot reach the store goes on holding its workers. */
  public long ownerWithoutStoreMs() {
    return OWNER_WITHOUT_STORE_MS;
  }
}
