package dev.bambootray.jobs.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.reach.StoreRoute.Way;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StoreRouteTest {
  private final StoreRoute route = new StoreRoute();

  @Nested
  final class AStoreThatRejectsThisNode {
    @Test
    void isReachedThroughOthersUntilItAnswersDirectly() {
      assertEquals(Way.DIRECT, route.next(0));
      assertTrue(route.answeredByPeer(0));
      assertEquals(Way.PEER, route.next(100));
      assertEquals(Way.BOTH, route.next(500));
      assertEquals(Way.PEER, route.next(501));
      route.answeredDirectly(20);
      assertEquals(Way.DIRECT, route.next(520));
    }

    @Test
    void isReportedOnce() {
      assertTrue(route.answeredByPeer(0));
      assertFalse(route.answeredByPeer(10));
    }
  }

  @Nested
  final class AStoreThatIsUnavailableToAllNodes {
    @Test
    void isCalledThroughOthersOnlyAfterAGrowingPause() {
      route.peersFailed(0);
      assertFalse(route.mayAskPeers(999));
      assertTrue(route.mayAskPeers(1_000));
      route.peersFailed(1_000);
      assertFalse(route.mayAskPeers(2_999));
      route.peersFailed(3_000);
      route.peersFailed(7_000);
      assertTrue(route.mayAskPeers(11_000));
    }

    @Test
    void isCalledDirectlyWhenOthersFailAsWell() {
      route.answeredByPeer(0);
      route.peersFailed(10);
      assertEquals(Way.DIRECT, route.next(20));
    }
  }

  @Nested
  final class AStoreThatIsSlow {
    @Test
    void isGivenMoreTimeBeforeOthersAreAsked() {
      // A store can be 60 times slower than usual; hedging every call would double its load.
      assertEquals(300, route.patienceMs());
      route.answeredDirectly(340);
      assertEquals(1_360, route.patienceMs());
      for (int i = 0; i < 20; i++) {
        route.answeredDirectly(10);
      }
      assertEquals(300, route.patienceMs());
    }
  }
}
