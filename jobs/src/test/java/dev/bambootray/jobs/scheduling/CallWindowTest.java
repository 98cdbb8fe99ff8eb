package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the bound on calls under way. */
final class CallWindowTest {
  private static final int INITIAL = 300;
  private static final long LIMIT_MS = 300;

  private final CallWindow<Integer> window = new CallWindow<>(INITIAL, LIMIT_MS);
  private long nowMs = 1_000;
  private int nextCall;

  /** Sends as many calls as there is room for, and returns how many. */
  private int fill() {
    int sent = 0;
    while (window.hasRoom(1)) {
      window.onSent(nextCall++, nowMs);
      sent++;
    }
    return sent;
  }

  private void end(int first, int count, boolean answered, long afterMs) {
    nowMs += afterMs;
    for (int call = first; call < first + count; call++) {
      window.onEnded(call, answered, true, nowMs);
    }
  }

  private void missAll() {
    int first = nextCall;
    end(first, fill(), false, LIMIT_MS);
  }

  @Nested
  final class Overload {
    @Test
    void isHalvedOnceForCallsThatWereSentTogether() {
      missAll();
      assertEquals(INITIAL / 2, fill());
    }

    @Test
    void neverFallsBelowItsFloor() {
      for (int i = 0; i < 10; i++) {
        missAll();
      }
      assertEquals(CallWindow.MIN_CALLS, fill());
    }

    @Test
    void growsByAConstantForEachRoundThatIsAnsweredEarly() {
      missAll();
      int first = nextCall;
      end(first, fill(), true, LIMIT_MS / 2);
      int grown = fill();
      assertTrue(grown > 160 && grown <= 166, () -> grown + " calls");
    }

    @Test
    void doesNotGrowWhileAnswersAreNearlyTooLate() {
      missAll();
      int first = nextCall;
      end(first, fill(), true, LIMIT_MS - 10);
      assertEquals(INITIAL / 2, fill());
    }
  }

  @Nested
  final class Health {
    @Test
    void doublesWithEarlyAnswers() {
      assertEquals(INITIAL, fill());
      end(0, INITIAL, true, 40);
      assertEquals(2 * INITIAL, fill());
    }

    @Test
    void staysWhenFewWorkersOfManyDoNotAnswer() {
      fill();
      end(20, INITIAL - 20, true, 100);
      end(0, 20, false, LIMIT_MS - 100);
      int sent = fill();
      assertTrue(sent >= INITIAL, () -> sent + " calls");
    }

    @Test
    void staysWhenCallsFailBeforeTheirLimit() {
      fill();
      end(0, INITIAL, false, 10);
      assertEquals(INITIAL, fill());
    }
  }

  @Test
  void callsThatGoTogetherMayExceedTheBoundByHalf() {
    for (int i = 0; i < 10; i++) {
      missAll();
    }
    for (int call = 0; call < 8; call++) {
      assertTrue(window.hasRoom(64));
      window.onSent(1_000_000 + call, nowMs);
    }
    assertTrue(window.hasRoom(64));
    window.onSent(2_000_000, nowMs);
    assertFalse(window.hasRoom(64));
    assertTrue(window.hasRoom(1));
  }

  @Test
  void forgottenCallsMakeRoom() {
    fill();
    window.forget(0);
    assertTrue(window.hasRoom(1));
    assertFalse(window.hasRoom(2));
  }
}
