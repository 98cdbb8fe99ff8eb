package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.scheduling.EventTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests in virtual time when a declaration is in force again after pauses of the process. */
final class DeclarationPauseTest {
  private static final long READ_MS = 1_250;

  /** Time for which the process, or the control thread alone, stands still. */
  private static final long STALL_MS = 1_050;

  private final VirtualExecutor executor = new VirtualExecutor();
  private final FaultyStore store = new FaultyStore(executor);
  private final List<Integer> confirmedPauseCounts = new ArrayList<>();
  private long wallAheadMs;
  private final DeclarationFollower declarations =
      new DeclarationFollower(
          store,
          executor,
          new FakeDocuments(),
          DecisionLog.start(),
          new DeclarationFollower.Listener() {
            @Override
            public void onDeclaration(JobDeclaration declaration) {}

            @Override
            public void onConfirmed(long asOfMs, int pauseCount) {
              confirmedPauseCounts.add(pauseCount);
            }
          },
          this::now);

  private EventTime now() {
    return new EventTime(executor.nowMs(), executor.nowMs() + wallAheadMs);
  }

  private boolean isInForce() {
    return declarations.inForce(now()).isPresent();
  }

  /** Lets the event loop run for a time in which the control thread ticks. */
  private void runFor(long durationMs) {
    long endMs = executor.nowMs() + durationMs;
    while (executor.nowMs() < endMs) {
      executor.runUntil(Math.min(endMs, executor.nowMs() + 50));
      boolean unused = isInForce();
    }
  }

  private void start() {
    declarations.start();
    runFor(2_000);
    assertTrue(isInForce());
  }

  @Nested
  final class PausesMoreFrequentThanReads {
    @Test
    void leaveTheDeclarationInForceBetweenThem() {
      // Each pause began the read anew, so that none completed and the owner started nothing.
      start();
      store.readMs = READ_MS;
      int timesInForce = 0;
      for (int pause = 1; pause <= 20; pause++) {
        executor.pauseFor(STALL_MS);
        assertFalse(isInForce());
        assertEquals(pause, declarations.pauseCount());
        runFor(READ_MS - STALL_MS - 50);
        timesInForce += isInForce() ? 1 : 0;
      }
      assertTrue(timesInForce >= 9, "in force after " + timesInForce + " of 20 pauses");
      assertTrue(confirmedPauseCounts.stream().distinct().count() >= 9);
    }
  }

  @Nested
  final class PauseDuringARead {
    @Test
    void isFollowedByOneFurtherReadIfTheContentIsOld() {
      start();
      store.readMs = 500;
      executor.pauseFor(3_000);
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + 10);
      int reads = store.readTimesMs.size();
      // The answer waits for the process, which is paused again: a key may be revoked meanwhile.
      executor.pauseFor(3_000);
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + 400);
      assertFalse(isInForce());
      runFor(800);
      assertTrue(isInForce());
      runFor(5_000);
      assertEquals(reads + 1, store.readTimesMs.size());
    }

    @Test
    void isFollowedByOneFurtherReadIfOnlyTheWallClockTellsThatTheContentIsOld() {
      start();
      store.readMs = 500;
      wallAheadMs += 3_000;
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + 10);
      int reads = store.readTimesMs.size();
      wallAheadMs += 3_000;
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + 495);
      assertFalse(isInForce());
      runFor(800);
      assertTrue(isInForce());
      assertEquals(reads + 1, store.readTimesMs.size());
    }

    @Test
    void needsNoFurtherReadIfTheContentIsAsYoungAsThatOfAnyRead() {
      start();
      store.readMs = READ_MS;
      executor.pauseFor(3_000);
      assertFalse(isInForce());
      int reads = store.readTimesMs.size() + 1;
      executor.runUntil(executor.nowMs() + STALL_MS);
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + READ_MS - STALL_MS);
      assertTrue(isInForce());
      runFor(5_000);
      assertEquals(reads, store.readTimesMs.size());
    }
  }

  @Nested
  final class ControlThreadThatStandsStillAlone {
    /** Lets time pass in which the event loop runs and the control thread does not tick. */
    private void standStill() {
      executor.runUntil(executor.nowMs() + STALL_MS);
      assertFalse(isInForce());
    }

    @Test
    void needsNoReadAsTheEventLoopHasReceivedAllChanges() {
      // A long round of the scheduler was taken for a pause of the process.
      start();
      int reads = store.readTimesMs.size();
      store.readMs = READ_MS;
      standStill();
      int confirmations = confirmedPauseCounts.size();
      executor.runUntil(executor.nowMs());
      assertTrue(isInForce());
      assertEquals(
          List.of(declarations.pauseCount()),
          confirmedPauseCounts.subList(confirmations, confirmedPauseCounts.size()));
      assertEquals(reads, store.readTimesMs.size());
    }

    @Test
    void needsAReadIfTheWaitForChangesIsLost() {
      start();
      store.waits = FaultyStore.Fault.CLOSED;
      runFor(5_000);
      int reads = store.readTimesMs.size();
      store.readMs = 500;
      standStill();
      executor.runUntil(executor.nowMs() + 400);
      assertFalse(isInForce());
      executor.runUntil(executor.nowMs() + 200);
      assertTrue(isInForce());
      assertEquals(reads + 1, store.readTimesMs.size());
    }

    @Test
    void needsAReadIfTheEventLoopStandsStillAsWell() {
      start();
      int reads = store.readTimesMs.size();
      executor.runUntil(executor.nowMs() + 500);
      executor.pauseFor(STALL_MS);
      executor.runUntil(executor.nowMs() + 300);
      assertFalse(isInForce());
      runFor(100);
      assertTrue(isInForce());
      assertEquals(reads + 1, store.readTimesMs.size());
    }
  }
}
