package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class StoreReachabilityTest {
  private final StoreReachability reach = new StoreReachability();

  @Test
  void reportsAnOutageAfterAnUnansweredCall() {
    reach.failed(1_000);
    assertTrue(reach.isOutage(2_000));
  }

  @Test
  void measuresFromTheFirstFailedCall() {
    reach.failed(1_000);
    reach.failed(1_500);
    assertFalse(reach.isOutage(1_500));
    assertTrue(reach.isOutage(1_700));
  }

  @Test
  void ignoresAFailureThatIsFollowedByASuccess() {
    reach.failed(1_000);
    reach.answered();
    assertFalse(reach.isOutage(5_000));
  }
}
