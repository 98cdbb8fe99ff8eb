package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.PolicyDeclaration;

/** Decides when a waiting job may start to borrow idle guaranteed capacity. */
final class BorrowingPolicy {
  /**
   * Wait before small jobs may break up a wide idle cell, if the declared policy weighs only
   * fragmentation; it scales with the share of that weight.
   */
  private static final long WIDE_CELL_WAIT_MS = 300_000;

  /**
   * Shortest wait before a job without checkpoints borrows a cell. Such a job loses its work when
   * the cell is reclaimed, so it tries other places first, for longer the more work it could lose.
   * It never breaks up a wide cell, because a claim of a wide cell stops many jobs.
   */
  private static final long MIN_NO_CHECKPOINT_WAIT_MS = 20_000;

  private static final long MAX_NO_CHECKPOINT_WAIT_MS = 300_000;

  private final double fragmentationShare;

  BorrowingPolicy(double fragmentationShare) {
    this.fragmentationShare = fragmentationShare;
  }

  static BorrowingPolicy scopeOf(PolicyDeclaration policy) {
    double sum = policy.completionTimeWeight() + policy.fragmentationWeight();
    return new BorrowingPolicy(sum <= 0 ? 0 : policy.fragmentationWeight() / sum);
  }

  /** Returns which idle cells the job may borrow at the given time. */
  BorrowScope scopeOf(Job job, long runMs, long nowMs) {
    long waitedMs = nowMs - job.request.spec().submittedAtMs();
    long cellMs =
        job.request.template().checkpointable()
            ? 0
            : Math.max(MIN_NO_CHECKPOINT_WAIT_MS, Math.min(MAX_NO_CHECKPOINT_WAIT_MS, runMs));
    long wideMs = cellMs + (long) (fragmentationShare * WIDE_CELL_WAIT_MS);
    if (job.request.template().checkpointable() && waitedMs >= wideMs) {
      return BorrowScope.ANY;
    }
    return waitedMs >= cellMs ? BorrowScope.NARROW : BorrowScope.NONE;
  }

  /** The idle cells that a job may borrow. */
  enum BorrowScope {
    /** No cells. */
    NONE,
    /** Cells that are not wide, or of which the job uses more than half. */
    NARROW,
    /** All cells. */
    ANY;

    /** Returns whether the job may be placed on idle cells of the worker. */
    boolean allows(Job job, PoolWorker worker) {
      return this == ANY
          || worker.cellMask == 0
          || (this == NARROW && worker.wideCellSize < 2 * job.shape.totalAccelerators());
    }
  }
}
