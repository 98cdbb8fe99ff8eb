package dev.bambootray.jobs.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.reach.StoreRouteSelector.Route;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StoreRouteSelectorTest {
  private final StoreRouteSelector route = new StoreRouteSelector();

  @Nested
  final class AStoreThatRejectsThisNode {
    @Test
    void isReachedThroughOthersUntilItAnswersDirectly() {
      assertEquals(Route.DIRECT, route.next(0));
      assertTrue(route.onPeerAnswer(0));
      assertEquals(Route.PEER, route.next(100));
      assertEquals(Route.BOTH, route.next(500));
      assertEquals(Route.PEER, route.next(501));
      route.onDirectAnswer(20);
      assertEquals(Route.DIRECT, route.next(520));
    }

    @Test
    void isReportedOnce() {
      assertTrue(route.onPeerAnswer(0));
      assertFalse(route.onPeerAnswer(10));
    }
  }

  @Nested
  final class AStoreThatIsUnavailableToAllNodes {
    @Test
    void isCalledThroughOthersOnlyAfterAGrowingPause() {
      route.onPeersFailed(0);
      assertFalse(route.mayAskPeers(999));
      assertTrue(route.mayAskPeers(1_000));
      route.onPeersFailed(1_000);
      assertFalse(route.mayAskPeers(2_999));
      route.onPeersFailed(3_000);
      route.onPeersFailed(7_000);
      assertTrue(route.mayAskPeers(11_000));
    }

    @Test
    void isCalledDirectlyWhenOthersFailAsWell() {
      route.onPeerAnswer(0);
      route.onPeersFailed(10);
      assertEquals(Route.DIRECT, route.next(20));
    }
  }

  @Nested
  final class AStoreThatIsSlow {
    @Test
    void isGivenMoreTimeBeforeOthersAreAsked() {
      // A store can be 60 times slower than usual; hedging every call would double its load.
      assertEquals(300, route.hedgeDelayMs());
      route.onDirectAnswer(340);
      assertEquals(1_360, route.hedgeDelayMs());
      for (int i = 0; i < 20; i++) {
        route.onDirectAnswer(10);
      }
      assertEquals(300, route.hedgeDelayMs());
    }
  }
}
