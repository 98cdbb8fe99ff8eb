package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobSpec;

/**
 * Limits the jobs that the pool accepts to what its owner can hold in memory.
 *
 * <p>The owner publishes how much it holds, so every node refuses what would be too much.
 *
 * @param maxBytes memory that the accepted jobs may take
 */
record AdmissionLimit(long maxBytes) {
  /** A new owner holds rows and jobs at the same time while it loads, besides all else. */
  private static final int HEAP_SHARE = 3;

  static final AdmissionLimit OF_HEAP =
      new AdmissionLimit(Runtime.getRuntime().maxMemory() / HEAP_SHARE);

  /** The rest is kept for jobs of the highest priority, which may have a guarantee. */
  private static final int LOWER_PRIORITY_PERCENT = 80;

  private static final int FULL_PERCENT = 100;

  /** Returns how much of the limit is used, in percent. */
  int heldPercent(long heldBytes) {
    return (int) Math.min(Integer.MAX_VALUE, heldBytes * FULL_PERCENT / maxBytes);
  }

  /** Returns whether a job must be refused, by what the owner has published. */
  static boolean isFullFor(JobSpec job, OwnerRecord owner) {
    boolean highest = job.objective().priority() == 0;
    return owner.heldPercent() >= (highest ? FULL_PERCENT : LOWER_PRIORITY_PERCENT);
  }
}
