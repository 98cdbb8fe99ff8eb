package dev.bambootray.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.store.OutageAdmission.Decision;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the limits on the requests that a node holds during an outage of the table. */
final class OutageAdmissionTest {
  private static final long LATER = 10_000_000;
  private final OutageAdmission admission = OutageAdmission.create();

  private Decision admit(String workspace, int n, boolean repeatable, long size, long deadline) {
    return admission.admit(RequestKey.of(workspace, "k" + n), repeatable, size, deadline, 1_000);
  }

  @Test
  void repeatableRequestsAreServedAndOthersWaitWithinTheirDeadline() {
    assertInstanceOf(Decision.ServeWithoutRecord.class, admit("a", 1, true, 10, 1_100));
    assertInstanceOf(Decision.HoldForTable.class, admit("a", 2, false, 10, LATER));
    assertInstanceOf(Decision.Refuse.class, admit("a", 3, false, 10, 1_500));
    assertEquals(List.of(), admission.expire(5_000));
    assertEquals(List.of(RequestKey.of("a", "k2")), admission.expire(LATER - 999));
    assertEquals(1, admission.heldRequests());
  }

  @Test
  void aRepeatedKeyIsHeldOnce() {
    admit("a", 1, false, 10, LATER);
    assertInstanceOf(Decision.HoldForTable.class, admit("a", 1, false, 10, LATER));
    assertEquals(1, admission.heldRequests());
    assertEquals(10, admission.heldBytes());
  }

  @Test
  void oneWorkspaceCannotTakeTheShareOfOthers() {
    int taken = 0;
    for (int i = 0; i < 1_000; i++) {
      taken += admit("greedy", i, i % 2 == 0, 10, LATER) instanceof Decision.Refuse ? 0 : 1;
    }
    assertEquals(500, taken);
    for (int i = 0; i < 250; i++) {
      assertTrue(!(admit("modest", i, true, 10, LATER) instanceof Decision.Refuse));
    }
  }

  @Test
  void requestsAndBytesAreBoundedTogether() {
    for (int w = 0; w < 100; w++) {
      for (int i = 0; i < 30; i++) {
        admit("w" + w, i, i % 2 == 0, 100, LATER);
      }
    }
    assertEquals(OutageAdmission.MAX_REQUESTS, admission.heldRequests());
    OutageAdmission large = OutageAdmission.create();
    for (int w = 0; w < 100; w++) {
      large.admit(RequestKey.of("w" + w, "k"), true, 1024 * 1024, LATER, 0);
    }
    assertEquals(OutageAdmission.MAX_BYTES, large.heldBytes());
  }

  @Test
  void waitingRequestsAreReturnedInOrderWhenTheTableRecovers() {
    admit("a", 1, false, 10, LATER);
    admit("b", 2, true, 10, LATER);
    admit("c", 3, false, 10, LATER);
    assertEquals(
        List.of(RequestKey.of("a", "k1"), RequestKey.of("c", "k3")), admission.tableRecovered());
    admission.release(RequestKey.of("b", "k2"));
    assertEquals(0, admission.heldRequests());
    assertEquals(0, admission.heldBytes());
  }
}
