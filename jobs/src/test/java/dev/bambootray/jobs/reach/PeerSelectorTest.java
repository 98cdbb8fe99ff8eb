package dev.bambootray.jobs.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PeerSelectorTest {
  private static final Peer SELF = peer("a1", "a", "west");
  private static final Peer NEAR = peer("a2", "a", "west");
  private static final Peer SAME_REGION = peer("b1", "b", "west");
  private static final Peer FAR = peer("c1", "c", "east");

  private final PeerSelector order = new PeerSelector(SELF);

  private static Peer peer(String name, String failureDomain, String region) {
    return new Peer(name, "10.0.0.1:7011", failureDomain, region);
  }

  @Test
  void hasNoCandidatesAtFirst() {
    assertTrue(order.candidates(0).isEmpty());
  }

  @Nested
  final class Candidates {
    Candidates() {
      order.update(List.of(FAR, SAME_REGION, SELF, NEAR));
    }

    @Test
    void areSortedByDistanceWithoutThisNode() {
      assertEquals(List.of(NEAR, SAME_REGION, FAR), order.candidates(0));
    }

    @Test
    void beginWithTheNodeThatAnsweredLast() {
      order.onAnswered(FAR);
      assertEquals(FAR, order.candidates(0).get(0));
    }

    @Test
    void endWithANodeThatFailedRecently() {
      order.onFailed(NEAR, 0);
      assertEquals(List.of(SAME_REGION, FAR, NEAR), order.candidates(1_999));
      assertEquals(NEAR, order.candidates(2_000).get(0));
    }

    @Test
    void excludeNodesThatAreGone() {
      order.onAnswered(FAR);
      order.update(List.of(NEAR));
      assertEquals(List.of(NEAR), order.candidates(0));
    }
  }
}
