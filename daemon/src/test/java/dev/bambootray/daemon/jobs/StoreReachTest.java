package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class StoreReachTest {
  private final StoreReach reach = new StoreReach();

  @Test
  void reportsAnOutageAfterAnUnansweredCall() {
    reach.failed(1_000);
    assertTrue(reach.isLost(2_000));
  }

  @Test
  void measuresFromTheFirstFailedCall() {
    reach.failed(1_000);
    reach.failed(1_500);
    assertFalse(reach.isLost(1_500));
    assertTrue(reach.isLost(1_700));
  }

  @Test
  void ignoresAFailureThatIsFollowedByASuccess() {
    reach.failed(1_000);
    reach.answered();
    assertFalse(reach.isLost(5_000));
  }
}
