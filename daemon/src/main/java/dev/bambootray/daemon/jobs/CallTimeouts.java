package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.SchedulerTimes;

/** Timeouts of calls to the platform's store and to workers, in milliseconds. */
final class CallTimeouts {
  /**
   * Timeout of start and stop commands to workers. A round trip between regions takes 42 ms. A
   * command without an answer is resolved by a stop, which costs less than keeping an urgent job
   * waiting for the answer.
   */
  static final long ORDER_MS = SchedulerTimes.ORDER_TIMEOUT_MS;

  /** Time added to the requested wait of a hold call to get its timeout. */
  static final long HOLD_MARGIN_MS = SchedulerTimes.LIST_TIMEOUT_MS;

  /** Timeout of transactions; a store that is 60 times slower than usual answers in 0.5 s. */
  static final long COMMIT_MS = 1_200;

  /** Remaining time below which a caller's request is not attempted. */
  static final long MIN_CALL_MS = 150;

  private CallTimeouts() {}
}
