package dev.bambootray.adapters.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.store.StoreError;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RelayedRowStoreTest {
  private static final Peer SELF = new Peer("n1", "10.0.0.1:7011", "a", "r");
  private static final Peer SECOND = new Peer("n2", "10.0.0.2:7011", "a", "r");
  private static final Peer THIRD = new Peer("n3", "10.0.0.3:7011", "b", "r");

  private final FakeStore direct = new FakeStore();
  private final FakeStore second = new FakeStore();
  private final FakeStore third = new FakeStore();
  private final List<Runnable> timers = new ArrayList<>();
  private final List<Long> delaysMs = new ArrayList<>();
  private final List<String> notifications = new ArrayList<>();
  private final PeerSelector order = new PeerSelector(SELF);
  private long nowMs;
  private final RelayedRowStore store =
      RelayedRowStore.builder(direct, order, this::runLater, new RecordingListener())
          .clockMs(() -> nowMs)
          .build(Map.of(SECOND.address(), second, THIRD.address(), third)::get);

  RelayedRowStoreTest() {
    order.update(List.of(SECOND, THIRD));
  }

  private Runnable runLater(Runnable action, long delayMs) {
    delaysMs.add(delayMs);
    timers.add(action);
    return () -> timers.remove(action);
  }

  private CompletableFuture<CommitOutcome> commit() {
    return store.commit(List.of(), List.of(), 1_000);
  }

  private void cutOff() {
    CompletableFuture<CommitOutcome> commit = commit();
    last(direct).complete(new Refused("503"));
    last(second).complete(new Committed(1));
    commit.join();
  }

  private static CompletableFuture<CommitOutcome> last(FakeStore way) {
    return way.commits.get(way.commits.size() - 1);
  }

  private final class RecordingListener implements RelayedRowStore.Listener {
    @Override
    public void onCutOff(Peer helper) {
      notifications.add("cut off " + helper.name());
    }

    @Override
    public void onRelayed() {
      notifications.add("relayed");
    }

    @Override
    public void onPeersFailed(boolean first) {
      notifications.add("failed");
    }
  }

  @Nested
  final class DirectCallAnswered {
    @Test
    void asksNoOtherNode() {
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Committed(7));
      assertEquals(new Committed(7), commit.join());
      assertTrue(second.commits.isEmpty());
      assertTrue(timers.isEmpty());
    }
  }

  @Nested
  final class DirectCallRefused {
    @Test
    void commitsThroughAnotherNode() {
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Refused("503"));
      assertFalse(commit.isDone());
      last(second).complete(new Committed(7));
      assertEquals(new Committed(7), commit.join());
      assertEquals(List.of("relayed", "cut off n2"), notifications);
    }

    @Test
    void asksTheNextNodeIfTheFirstIsRefusedAsWell() {
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Refused("503"));
      last(second).complete(new Refused("503"));
      last(third).complete(new Committed(7));
      assertEquals(new Committed(7), commit.join());
    }

    @Test
    void readsThroughAnotherNode() {
      second.page = Either.right(new RowReadPage(List.of(), false, 4));
      assertEquals(4, store.read("jobs", "", "", 1).join().get().version());
    }

    @Test
    void asksTheOtherNodeFirstFromThenOn() {
      cutOff();
      int directly = direct.commits.size();
      commit();
      assertEquals(directly, direct.commits.size());
      assertEquals(2, second.commits.size());
    }

    @Test
    void returnsToDirectCallsWhenTheyWorkAgain() {
      cutOff();
      nowMs = 500;
      CompletableFuture<CommitOutcome> probe = commit();
      last(direct).complete(new Committed(8));
      assertEquals(new Committed(8), probe.join());
      int relayed = second.commits.size();
      commit();
      assertEquals(relayed, second.commits.size());
    }
  }

  @Nested
  final class DirectCallUnanswered {
    @Test
    void endsInTimeOnAllRoutes() {
      // Calls were tried through three nodes after the direct attempt, 3 s in all: callers gave up.
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Refused("503"));
      last(second).complete(new Refused("503"));
      assertEquals(1_000, delaysMs.get(0));
      timers.get(0).run();
      assertInstanceOf(Unknown.class, commit.join());
    }

    @Test
    void asksAnotherNodeAfterAWhile() {
      CompletableFuture<CommitOutcome> commit = commit();
      assertTrue(second.commits.isEmpty());
      timers.get(1).run();
      last(second).complete(new Committed(7));
      assertEquals(new Committed(7), commit.join());
    }

    /** Replays a store that is slow for all nodes, and one that only this node cannot reach. */
    @Nested
    final class WithRows {
      private final Either<StoreError, RowReadPage> page =
          Either.right(new RowReadPage(List.of(), false, 4));

      private CompletableFuture<CommitOutcome> commitRow() {
        return store.commit(
            List.of(), List.of(new RowChange("owner", "pool", new byte[] {1})), 1_000);
      }

      @Test
      void goesThroughANodeThatReachesTheStoreFaster() {
        second.holdsReads = true;
        third.page = page;
        CompletableFuture<CommitOutcome> commit = commitRow();
        timers.get(1).run();
        assertTrue(second.commits.isEmpty());
        last(third).complete(new Committed(7));
        assertEquals(new Committed(7), commit.join());
      }

      @Test
      void isNotSentAgainWhileTheStoreIsSlowForOtherNodesToo() {
        // Each further attempt took the place of a commit of the owner, which lost its lease.
        second.holdsReads = true;
        third.holdsReads = true;
        CompletableFuture<CommitOutcome> commit = commitRow();
        timers.get(1).run();
        nowMs += 360;
        second.heldReads.get(0).complete(page);
        third.heldReads.get(0).complete(page);
        assertTrue(second.commits.isEmpty() && third.commits.isEmpty());
        last(direct).complete(new Committed(7));
        assertEquals(new Committed(7), commit.join());
      }

      @Test
      void goesThroughTheOtherNodesIfTheFasterOneFails() {
        second.holdsReads = true;
        third.page = page;
        CompletableFuture<CommitOutcome> commit = commitRow();
        timers.get(1).run();
        last(third).complete(new Refused("503"));
        last(second).complete(new Committed(7));
        assertEquals(new Committed(7), commit.join());
      }

      @Test
      void goesThroughOtherNodesWhenTheDirectAttemptFails() {
        second.holdsReads = true;
        third.holdsReads = true;
        CompletableFuture<CommitOutcome> commit = commitRow();
        timers.get(1).run();
        last(direct).complete(new Refused("503"));
        last(second).complete(new Committed(7));
        assertEquals(new Committed(7), commit.join());
      }
    }

    @Test
    void neverReportsACommitAsRefusedThatMayBeApplied() {
      // A caller was told that its job had not run although an unanswered attempt was applied.
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Unknown("no answer"));
      last(second).complete(new Refused("503"));
      assertFalse(commit.isDone());
      last(third).complete(new Refused("503"));
      assertInstanceOf(Unknown.class, commit.join());
    }

    @Test
    void waitsForTheDirectAttemptBeforeItGivesUp() {
      CompletableFuture<CommitOutcome> commit = commit();
      timers.get(1).run();
      last(second).complete(new Refused("503"));
      last(third).complete(new Refused("503"));
      assertFalse(commit.isDone());
      last(direct).complete(new Unknown("no answer"));
      assertInstanceOf(Unknown.class, commit.join());
    }

    @Test
    void movesAWaitForChangesToAnotherNode() {
      CompletableFuture<ChangePage> wait = store.changes("jobs", 3, 1_500);
      assertTrue(second.waits.isEmpty());
      cutOff();
      second.waits.get(0).complete(new ChangePage.Changes(List.of(), 5));
      assertEquals(new ChangePage.Changes(List.of(), 5), wait.join());
    }
  }

  @Nested
  final class WaitsForChanges {
    @Test
    void doNotTellThatThisNodeIsCutOff() {
      // Two nodes that were not cut off kept waiting through each other for half a minute.
      cutOff();
      CompletableFuture<ChangePage> wait = store.changes("jobs", 3, 1_500);
      nowMs = 500;
      commit();
      last(direct).complete(new Committed(8));
      second.waits.get(0).complete(new ChangePage.Changes(List.of(), 5));
      wait.join();
      store.changes("jobs", 5, 1_500);
      assertEquals(1, direct.waits.size());
      assertEquals(1, second.waits.size());
    }

    @Test
    void doNotLengthenTheHedgeDelayOfOtherCalls() {
      store.changes("op", 3, 1_500);
      nowMs = 1_500;
      direct.waits.get(0).complete(new ChangePage.Changes(List.of(), 5));
      commit();
      assertEquals(300L, delaysMs.get(delaysMs.size() - 1));
    }

    @Test
    void endWithTheDirectWait() {
      // When the feed answered no node, a wait was tried through three nodes in turn, 10 s in all,
      // while a new configuration was already in force.
      CompletableFuture<ChangePage> wait = store.changes("op", 3, 1_500);
      direct.waits.get(0).complete(new ChangePage.Failed("no answer"));
      assertEquals(new ChangePage.Failed("no answer"), wait.join());
      assertTrue(second.waits.isEmpty());
    }

    @Test
    void endWithTheWaitThroughAnotherNode() {
      cutOff();
      CompletableFuture<ChangePage> wait = store.changes("op", 3, 1_500);
      second.waits.get(0).complete(new ChangePage.Failed("no answer"));
      assertEquals(new ChangePage.Failed("no answer"), wait.join());
      assertTrue(third.waits.isEmpty());
    }
  }

  @Nested
  final class StoreUnavailableToAllNodes {
    @Test
    void failsAndAsksNoOtherNodeForAWhile() {
      CompletableFuture<CommitOutcome> commit = commit();
      last(direct).complete(new Refused("503"));
      last(second).complete(new Refused("503"));
      last(third).complete(new Refused("503"));
      assertInstanceOf(Refused.class, commit.join());
      assertEquals(List.of("failed"), notifications);
      CompletableFuture<CommitOutcome> later = commit();
      last(direct).complete(new Refused("503"));
      assertInstanceOf(Refused.class, later.join());
      assertEquals(1, second.commits.size());
    }

    @Test
    void callsDirectlyWhenTheOtherNodesFail() {
      cutOff();
      CompletableFuture<CommitOutcome> commit = commit();
      last(second).complete(new Refused("not sent"));
      last(third).complete(new Refused("not sent"));
      last(direct).complete(new Committed(9));
      assertEquals(new Committed(9), commit.join());
    }
  }
}
