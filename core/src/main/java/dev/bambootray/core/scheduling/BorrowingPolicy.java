package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.PolicyDeclaration;

/** Decides from when on a waiting job may borrow idle guaranteed capacity. */
final class BorrowingPolicy {
  /** Wait at full weight of fragmentation before small jobs may break up a wide idle cell. */
  private static final long WIDE_CELL_WAIT_MS = 300_000;

  /**
   * A job without checkpoints loses its work if it is reclaimed, so it tries other places first,
   * the longer the more it has to lose, and never breaks up a wide cell, whose claim stops many
   * jobs.
   */
  private static final long LEAST_NO_CHECKPOINT_WAIT_MS = 20_000;

  private static final long MOST_NO_CHECKPOINT_WAIT_MS = 300_000;

  private final double fragmentationShare;

  BorrowingPolicy(double fragmentationShare) {
    this.fragmentationShare = fragmentationShare;
  }

  static BorrowingPolicy of(PolicyDeclaration policy) {
    double sum = policy.completionTimeWeight() + policy.fragmentationWeight();
    return new BorrowingPolicy(sum <= 0 ? 0 : policy.fragmentationWeight() / sum);
  }

  /** Returns which idle cells the job may borrow by now. */
  Willingness of(Job job, long runMs, long nowMs) {
    long waitedMs = nowMs - job.request.spec().submittedAtMs();
    long cellMs =
        job.request.template().checkpointable()
            ? 0
            : Math.max(LEAST_NO_CHECKPOINT_WAIT_MS, Math.min(MOST_NO_CHECKPOINT_WAIT_MS, runMs));
    long wideMs = cellMs + (long) (fragmentationShare * WIDE_CELL_WAIT_MS);
    if (job.request.template().checkpointable() && waitedMs >= wideMs) {
      return Willingness.ANY;
    }
    return waitedMs >= cellMs ? Willingness.NARROW : Willingness.NONE;
  }

  /** Which idle cells a job may borrow. */
  enum Willingness {
    /** None. */
    NONE,
    /** Those of which the job would not break up a wide one. */
    NARROW,
    /** All. */
    ANY;

    /** Returns whether a job may lie on idle cells of the worker. */
    boolean allows(Job job, WorkerSlot worker) {
      return this == ANY
          || worker.cellMask == 0
          || (this == NARROW && worker.wideCellSize < 2 * job.shape.totalAccelerators());
    }
  }
}
