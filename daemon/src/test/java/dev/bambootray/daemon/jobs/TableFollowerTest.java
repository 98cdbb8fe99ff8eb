package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.FaultyStore.Fault;
import dev.bambootray.jobs.store.Row;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a table is followed on whatever becomes of the calls of the store. */
final class TableFollowerTest {
  /** Longest time without a confirmation around one call that fails in any way. */
  private static final long BOUND_MS =
      TableFollower.WAIT_MS + TableFollower.CALL_LIMIT_MS + TableFollower.RETRY_MS + 100;

  /** Age of a confirmation at which an owner starts nothing; it has 5 s for closed domains. */
  private static final long MAX_AGE_MS = 4_500;

  private final VirtualExecutor executor = new VirtualExecutor();
  private final FaultyStore store = new FaultyStore(executor);
  private final Recorder recorder = new Recorder();
  private final TableFollower follower =
      new TableFollower(store, executor, "declarations", recorder, executor::nowMs);

  private final class Recorder implements TableFollower.Listener {
    private final List<Long> confirmedAtMs = new ArrayList<>();
    private final List<Long> confirmedAsOfMs = new ArrayList<>();
    private final List<String> reachable = new ArrayList<>();
    private List<String> keys = List.of();
    private int contents;
    private int faults;
    private boolean throwing;

    @Override
    public void onContent(List<Row> rows) {
      contents++;
      keys = rows.stream().map(Row::key).toList();
    }

    @Override
    public void onChanges(List<Row> rows) {}

    @Override
    public void onReachable(boolean value, String detail) {
      reachable.add(value ? "regained" : "lost");
      throwIfAsked();
    }

    @Override
    public void onConfirmed(long asOfMs) {
      confirmedAtMs.add(executor.nowMs());
      confirmedAsOfMs.add(asOfMs);
      throwIfAsked();
    }

    @Override
    public void onFault(RuntimeException fault) {
      faults++;
    }

    private void throwIfAsked() {
      if (throwing) {
        throw new IllegalStateException("thrown by the listener");
      }
    }

    /** Returns the longest time between confirmations from a time to the end. */
    private long longestGapMs(long fromMs, long toMs) {
      long longestMs = 0;
      long lastMs = fromMs;
      for (long atMs : confirmedAtMs) {
        if (atMs >= fromMs) {
          longestMs = Math.max(longestMs, atMs - lastMs);
          lastMs = atMs;
        }
      }
      return Math.max(longestMs, toMs - lastMs);
    }

    /** Returns the greatest age that the newest confirmation had at any time. */
    private long greatestAgeMs() {
      long greatestMs = 0;
      for (int i = 1; i < confirmedAtMs.size(); i++) {
        greatestMs = Math.max(greatestMs, confirmedAtMs.get(i) - confirmedAsOfMs.get(i - 1));
      }
      return greatestMs;
    }
  }

  private long callsSince(long fromMs) {
    return store.waitTimesMs.stream().filter(atMs -> atMs >= fromMs).count()
        + store.readTimesMs.stream().filter(atMs -> atMs >= fromMs).count();
  }

  @Nested
  final class OneFailedWait {
    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void isFollowedByAnother(Fault fault) {
      follower.start();
      executor.runUntil(1_000);
      store.waits = fault;
      executor.runUntil(2_000);
      store.waits = Fault.NONE;
      executor.runUntil(30_000);
      assertTrue(recorder.longestGapMs(0, 30_000) <= BOUND_MS, recorder.confirmedAtMs.toString());
      assertEquals(List.of("lost", "regained"), recorder.reachable);
      // One wait of 1.5 s after the other; a second follower would double the number.
      assertTrue(callsSince(15_000) <= 11, store.waitTimesMs.toString());
      assertEquals(1, recorder.contents);
    }
  }

  @Nested
  final class FailedWaits {
    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void areFollowedByAnotherOnceTheStoreIsBack(Fault fault) {
      follower.start();
      store.waits = fault;
      executor.runUntil(20_000);
      store.waits = Fault.NONE;
      executor.runUntil(50_000);
      assertTrue(recorder.longestGapMs(20_000, 50_000) <= BOUND_MS);
      assertTrue(callsSince(35_000) <= 11, store.waitTimesMs.toString());
      assertEquals("regained", recorder.reachable.get(recorder.reachable.size() - 1));
    }
  }

  @Nested
  final class FailedReads {
    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void areFollowedByAnotherOnceTheStoreIsBack(Fault fault) {
      store.reads = fault;
      follower.start();
      executor.runUntil(20_000);
      assertEquals(List.of("lost"), recorder.reachable);
      store.reads = Fault.NONE;
      executor.runUntil(50_000);
      assertTrue(recorder.longestGapMs(20_000, 50_000) <= BOUND_MS);
      assertEquals(List.of("lost", "regained"), recorder.reachable);
      assertEquals(1, recorder.contents);
      assertTrue(callsSince(35_000) <= 11, store.waitTimesMs.toString());
    }
  }

  @Nested
  final class ReadOfManyPages {
    @Test
    void endsThoughSomeOfThePagesFail() {
      // A page that failed began the read anew, so that a read of more pages never ended.
      store.pages = 5;
      store.refusedReadInterval = 3;
      follower.start();
      executor.runUntil(5_000);
      assertEquals(
          List.of("current", "current1", "current2", "current3", "current4"), recorder.keys);
      assertEquals(1, recorder.contents);
      assertEquals(7, store.readTimesMs.size());
      assertEquals(List.of("lost", "regained"), recorder.reachable);
    }

    @Test
    void isGivenUpForANewOne() {
      store.pages = 5;
      store.refusedReadInterval = 3;
      follower.start();
      executor.runUntil(100);
      executor.execute(follower::readAgain);
      executor.runUntil(10_000);
      assertEquals(1, recorder.contents);
      assertEquals(5, recorder.keys.size());
    }
  }

  @Nested
  final class ListenerThatThrows {
    @Test
    void doesNotEndTheFollowing() {
      recorder.throwing = true;
      follower.start();
      executor.runUntil(3_000);
      store.waits = Fault.CLOSED;
      executor.runUntil(6_000);
      store.waits = Fault.NONE;
      executor.runUntil(20_000);
      assertTrue(recorder.longestGapMs(6_000, 20_000) <= BOUND_MS);
      assertEquals(recorder.confirmedAtMs.size() + recorder.reachable.size(), recorder.faults);
    }
  }

  @Nested
  final class ReadingAgain {
    @Test
    void leavesOneWaitAtATime() {
      follower.start();
      executor.runUntil(10_000);
      for (int i = 0; i < 5; i++) {
        executor.execute(follower::readAgain);
        executor.runUntil(executor.nowMs() + 300);
      }
      executor.runUntil(30_000);
      assertTrue(callsSince(15_000) <= 11, store.waitTimesMs.toString());
    }
  }

  @Nested
  final class LateAnswers {
    @Test
    void confirmOftenEnoughForAnOwnerToGoOn() {
      // Confirmed as of 1.5 s after the sending, in steps of 2.5 s: never older than 3.5 s.
      store.lateMs = 1_000;
      follower.start();
      executor.runUntil(60_000);
      assertEquals(List.of(), recorder.reachable);
      assertEquals(3_500, recorder.greatestAgeMs());
    }

    @Test
    void confirmOftenEnoughUpToTheLimitOfACall() {
      store.lateMs = TableFollower.CALL_LIMIT_MS - 1;
      follower.start();
      executor.runUntil(60_000);
      assertEquals(List.of(), recorder.reachable);
      assertTrue(recorder.greatestAgeMs() <= MAX_AGE_MS);
    }
  }
}
