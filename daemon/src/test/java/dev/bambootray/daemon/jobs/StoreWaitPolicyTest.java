package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class StoreWaitPolicyTest {
  private static final long START_MS = 5_000;

  @Test
  void waitsForTheTimeThatARefusedCallerStaysAway() {
    assertEquals(1_000, StoreWaitPolicy.waitMs(START_MS, START_MS, START_MS + 3_000));
    assertEquals(400, StoreWaitPolicy.waitMs(START_MS + 600, START_MS, START_MS + 3_000));
    assertEquals(0, StoreWaitPolicy.waitMs(START_MS + 1_200, START_MS, START_MS + 3_000));
  }

  @Test
  void leavesTimeForAnAttempt() {
    assertEquals(
        500 - CallTimeouts.MIN_CALL_MS, StoreWaitPolicy.waitMs(START_MS, START_MS, START_MS + 500));
  }
}
