package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ProcessConnectionTest {
  private final ProcessConnection connection = new ProcessConnection();

  @Test
  void isNotUsableBeforeAList() {
    assertFalse(connection.isUsable());
  }

  /** The process has answered a poll over connection 7. */
  @Nested
  final class AfterAPoll {
    @BeforeEach
    void answerPoll() {
      connection.onListed(7, false);
    }

    @Test
    void isThatOfThePollThoughARefreshUsesAnother() {
      connection.onListed(8, true);
      assertEquals(7, connection.bound());
    }

    @Test
    void isForgottenIfACallFailedOrTheWorkerHasRestarted() {
      connection.onFailed();
      assertFalse(connection.isUsable());
      connection.onListed(8, true);
      assertEquals(8, connection.bound());
      connection.restart();
      assertFalse(connection.isUsable());
    }

    @Test
    void isReplacedByTheNextListIfACallWasNotSent() {
      connection.onNotSent();
      assertFalse(connection.isUsable());
      connection.onListed(8, false);
      assertEquals(8, connection.bound());
    }

    @Test
    void isNotNamedToAWorkerThatKeepsNoneOpen() {
      connection.onNotSent();
      connection.onListed(8, false);
      connection.onNotSent();
      assertTrue(connection.isUsable());
      connection.onListed(9, false);
      assertEquals(ProcessConnection.UNKNOWN, connection.bound());
    }

    @Test
    void isNamedAgainOnceTheWorkerKeepsOneOpen() {
      connection.onNotSent();
      connection.onNotSent();
      connection.onListed(9, false);
      connection.onListed(9, false);
      assertEquals(9, connection.bound());
    }
  }
}
