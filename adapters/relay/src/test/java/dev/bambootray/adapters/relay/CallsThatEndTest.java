package dev.bambootray.adapters.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.CommitOutcome.Committed;
import dev.bambootray.jobs.store.CommitOutcome.Refused;
import dev.bambootray.jobs.store.CommitOutcome.Unknown;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowReadPage;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests in virtual time that each call ends, whatever the store and the other nodes do. */
final class CallsThatEndTest {
  private static final Peer SELF = new Peer("n1", "10.0.0.1:7011", "a", "r");
  private static final Peer SECOND = new Peer("n2", "10.0.0.2:7011", "a", "r");
  private static final Peer THIRD = new Peer("n3", "10.0.0.3:7011", "b", "r");
  private static final long WAIT_MS = 1_500;

  /** Longest time that a wait of that length may take. */
  private static final long LIMIT_MS = 2_500;

  private static final ChangePage NOTHING = new ChangePage.Changes(List.of(), 5);

  private final FakeStore direct = new FakeStore();
  private final FakeStore second = new FakeStore();
  private final FakeStore third = new FakeStore();
  private final TreeMap<Long, Runnable> timers = new TreeMap<>();
  private final PeerSelector order = new PeerSelector(SELF);
  private long nowMs;
  private final RelayedRowStore store =
      RelayedRowStore.builder(direct, order, this::runLater, new SilentListener())
          .clockMs(() -> nowMs)
          .build(Map.of(SECOND.address(), second, THIRD.address(), third)::get);

  CallsThatEndTest() {
    order.update(List.of(SECOND, THIRD));
  }

  private static final class SilentListener implements RelayedRowStore.Listener {
    @Override
    public void onCutOff(Peer helper) {}

    @Override
    public void onRelayed() {}

    @Override
    public void onPeersFailed(boolean first) {}
  }

  private Runnable runLater(Runnable action, long delayMs) {
    long key = nowMs + delayMs;
    while (timers.containsKey(key)) {
      key++;
    }
    long atMs = key;
    timers.put(atMs, action);
    return () -> timers.remove(atMs, action);
  }

  private void runUntil(long untilMs) {
    while (!timers.isEmpty() && timers.firstKey() <= untilMs) {
      nowMs = Math.max(nowMs, timers.firstKey());
      timers.pollFirstEntry().getValue().run();
    }
    nowMs = untilMs;
  }

  private CompletableFuture<ChangePage> startWait() {
    return store.changes("op", 3, WAIT_MS);
  }

  private void cutOff() {
    CompletableFuture<CommitOutcome> commit = store.commit(List.of(), List.of(), 1_000);
    direct.commits.get(direct.commits.size() - 1).complete(new Refused("503"));
    second.commits.get(second.commits.size() - 1).complete(new Committed(1));
    commit.join();
  }

  private static void assertFailed(CompletableFuture<ChangePage> wait) {
    assertTrue(wait.isDone());
    assertInstanceOf(ChangePage.Failed.class, wait.join());
  }

  @Nested
  final class Waits {
    @Test
    void endInTimeIfTheStoreNeverAnswers() {
      CompletableFuture<ChangePage> wait = startWait();
      runUntil(LIMIT_MS - 1);
      assertFalse(wait.isDone());
      runUntil(LIMIT_MS);
      assertFailed(wait);
    }

    @Test
    void endInTimeIfTheOtherNodeNeverAnswers() {
      cutOff();
      CompletableFuture<ChangePage> wait = startWait();
      assertEquals(List.of(WAIT_MS), second.waitsMs);
      runUntil(LIMIT_MS);
      assertFailed(wait);
    }

    @Test
    void endInTimeThoughTheyMoveToAnotherNodeMeanwhile() {
      // A wait that moved just before its end took 4.8 s; an owner starts nothing from 4.5 s on.
      CompletableFuture<ChangePage> wait = startWait();
      runUntil(2_300);
      cutOff();
      direct.waits.get(0).complete(new ChangePage.Failed("the peer closed the connection"));
      assertFalse(wait.isDone());
      runUntil(LIMIT_MS);
      assertFailed(wait);
    }

    @Test
    void goOnForTheRestOfTheirTimeAtTheNodeThatTheyMoveTo() {
      CompletableFuture<ChangePage> wait = startWait();
      runUntil(1_000);
      cutOff();
      assertEquals(List.of(WAIT_MS - 1_000), second.waitsMs);
      second.waits.get(0).complete(NOTHING);
      assertEquals(NOTHING, wait.join());
      assertTrue(timers.isEmpty());
    }

    @Test
    void areAnsweredAtOnceIfTheyMoveAfterTheirTime() {
      CompletableFuture<ChangePage> wait = startWait();
      runUntil(2_000);
      cutOff();
      assertEquals(List.of(0L), second.waitsMs);
      second.waits.get(0).complete(NOTHING);
      assertEquals(NOTHING, wait.join());
    }

    @Test
    void failIfTheStoreThrows() {
      direct.throwing = true;
      assertFailed(startWait());
      direct.throwing = false;
      assertFalse(startWait().isDone());
    }

    @Test
    void failIfTheOtherNodeThrows() {
      cutOff();
      second.throwing = true;
      assertFailed(startWait());
      // The next wait goes to another node.
      assertFalse(startWait().isDone());
      assertEquals(1, third.waits.size());
    }

    @Test
    void goOnDirectlyIfTheNodeThatTheyMoveToThrows() {
      CompletableFuture<ChangePage> wait = startWait();
      runUntil(1_000);
      CompletableFuture<CommitOutcome> commit = store.commit(List.of(), List.of(), 1_000);
      direct.commits.get(0).complete(new Refused("503"));
      second.throwing = true;
      second.commits.get(0).complete(new Committed(1));
      assertEquals(new Committed(1), commit.join());
      direct.waits.get(0).complete(NOTHING);
      assertEquals(NOTHING, wait.join());
    }
  }

  @Nested
  final class OtherCalls {
    @Test
    void goThroughAnotherNodeIfTheStoreThrows() {
      direct.throwing = true;
      second.page = Either.right(new RowReadPage(List.of(), false, 4));
      assertEquals(4, store.read("op", "", "", 1).join().get().version());
    }

    @Test
    void reportACommitThatThrewAsOneThatMayBeApplied() {
      direct.throwing = true;
      second.throwing = true;
      third.throwing = true;
      assertInstanceOf(Unknown.class, store.commit(List.of(), List.of(), 1_000).join());
    }

    @Test
    void probeTheNextNodeIfOneThrows() {
      second.throwing = true;
      third.page = Either.right(new RowReadPage(List.of(), false, 4));
      CompletableFuture<CommitOutcome> commit =
          store.commit(List.of(), List.of(new RowChange("owner", "pool", new byte[] {1})), 1_000);
      runUntil(400);
      third.commits.get(0).complete(new Committed(7));
      assertEquals(new Committed(7), commit.join());
    }
  }
}
