package dev.bambootray.daemon.jobs;

/** Timeouts of calls to the platform and to workers, in milliseconds. */
final class CallTimeouts {
  /**
   * Orders to workers. Two ways between regions take 42 ms; an order without an answer is settled
   * by a stop, which costs less than an urgent job that waits for it.
   */
  static final long ORDER_MS = 300;

  /** Added to the wait of a hold. */
  static final long HOLD_MS = 900;

  /** Transactions; a store that is 60 times slower than usual answers in 0.5 s. */
  static final long COMMIT_MS = 1_200;

  /** Least time that is worth trying a call of a caller in. */
  static final long LEAST_MS = 150;

  private CallTimeouts() {}
}
