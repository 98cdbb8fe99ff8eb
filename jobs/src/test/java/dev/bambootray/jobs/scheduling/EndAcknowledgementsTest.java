package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndAcknowledgementsTest {
  private final EndAcknowledgements ends = new EndAcknowledgements();
  private final RecordBatcher batches = new RecordBatcher();

  @Test
  void handlesEachEndOnce() {
    assertTrue(ends.recordListed(2));
    assertFalse(ends.recordListed(1));
    assertFalse(ends.recordListed(2));
    assertTrue(ends.recordListed(3));
  }

  @Test
  void acknowledgesNothingBeforeItIsStored() {
    ends.recordListed(1);
    ends.storeWith(1);
    ends.update(batches);
    assertTrue(ends.isAwaitingStore());
    assertEquals(0, ends.nextToAcknowledge());
  }

  /** The worker has listed two ends that are stored. */
  @Nested
  final class WithStoredEnds {
    @BeforeEach
    void storeTwoEnds() {
      ends.recordListed(1);
      ends.recordListed(2);
      ends.update(batches);
    }

    @Test
    void acknowledgesThemOnce() {
      assertEquals(2, ends.nextToAcknowledge());
      assertEquals(0, ends.nextToAcknowledge());
      assertTrue(ends.isComplete());
    }

    @Test
    void acknowledgesThemAgainAfterAFailedCall() {
      ends.nextToAcknowledge();
      ends.onFailed();
      assertTrue(ends.isPending());
      assertEquals(2, ends.nextToAcknowledge());
    }

    @Test
    void acknowledgesNothingToANewProcess() {
      ends.restart();
      assertEquals(0, ends.nextToAcknowledge());
      assertTrue(ends.recordListed(1));
    }
  }
}
