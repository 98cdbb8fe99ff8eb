package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.JobApi.SubmitOutcome;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.ports.RowPartitions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Replays callers that keep submitting while the store is 89 times slower than usual, so that a
 * transaction takes 445 ms. In a single partition the submissions fill its queue, which refuses
 * them and keeps the owner from renewing its lease.
 */
final class SlowStoreReplayTest {
  private static final long TRANSACTION_MS = 445;
  private static final long SLOW_FOR_MS = 5_500;
  private static final int SUBMISSIONS_PER_S = 8;
  private static final int NODES = 38;
  private static final long NODE_ROW_INTERVAL_MS = 10_000;

  /** A caller gives up after this time, and returns this long after a refusal. */
  private static final long CALLER_MS = 3_000;

  private static final long RETURN_MS = 1_000;

  /** Time without a renewal after which another node may claim the pool. */
  private static final long LEASE_MS = 1_300;

  private static final long RENEW_MS = 400;
  private static final byte[] ROW = new byte[] {1};

  /** The way before: one partition for all rows of the product. */
  private static final RowPartitions SINGLE =
      new RowPartitions() {
        @Override
        public String partitionOf(String table, String key) {
          return "pool";
        }

        @Override
        public List<String> partitionsOf(String table, String from, String to) {
          return List.of("pool");
        }
      };

  private static final class Replay {
    private final SlowPartitionedStore store;
    private final JobApi api;
    private final Random random = new Random(20261204);
    private final List<Long> renewalsMs = new ArrayList<>();
    private int submitted;
    private int accepted;

    Replay(RowPartitions partitions) {
      store = new SlowPartitionedStore(partitions, TRANSACTION_MS);
      JobRowCodec codec = new JobRowCodec();
      DecisionLog log = DecisionLog.start();
      StoreFormats formats = TestFormats.spread();
      OwnerRowStore owner = new OwnerRowStore(store, codec, log, formats);
      api =
          new JobApi(
              store,
              new ManualExecutor(),
              codec,
              new DeclarationFollower(
                  store, new ManualExecutor(), new FakeDocuments(), log, declaration -> {}),
              owner,
              log,
              JobMetrics.create(),
              new OwnerHintSender(owner, "n/1", (node, hint) -> {}, hint -> {}),
              formats);
      owner.setNewest(new OwnerRecord("n/1", 1, 1, false, Map.of(), 0));
    }

    Replay play() {
      for (int node = 0; node < NODES; node++) {
        String name = "n" + node;
        store.at(node * NODE_ROW_INTERVAL_MS / NODES, () -> writeNodeRow(name));
      }
      for (long atMs = 0; atMs < SLOW_FOR_MS; atMs += 1_000 / SUBMISSIONS_PER_S) {
        String id = String.format("%016x", random.nextLong());
        long firstMs = atMs;
        store.at(atMs, () -> submit(id, firstMs + CALLER_MS));
        submitted++;
      }
      renew();
      store.runUntil(SLOW_FOR_MS + CALLER_MS);
      return this;
    }

    private void writeNodeRow(String name) {
      var unused =
          store.commit(
              List.of(),
              List.of(new RowChange(JobTables.NODES, name, ROW)),
              CallTimeouts.COMMIT_MS);
    }

    private void renew() {
      var unused =
          store
              .commit(
                  List.of(),
                  List.of(new RowChange(JobTables.OWNER, JobTables.OWNER_KEY, ROW)),
                  CallTimeouts.COMMIT_MS)
              .thenAccept(
                  outcome -> {
                    if (outcome instanceof CommitOutcome.Committed) {
                      renewalsMs.add(store.nowMs());
                    }
                    store.at(store.nowMs() + RENEW_MS, this::renew);
                  });
    }

    private void submit(String id, long endMs) {
      var unused =
          api.submit(TestJob.builder(id).priority(0).build(), endMs - store.nowMs())
              .thenAccept(
                  outcome -> {
                    boolean inTime = store.nowMs() <= endMs;
                    if (outcome == SubmitOutcome.ACCEPTED && inTime) {
                      accepted++;
                    } else if (store.nowMs() + RETURN_MS < endMs) {
                      store.at(store.nowMs() + RETURN_MS, () -> submit(id, endMs));
                    }
                  });
    }

    private long longestLeaseGapMs() {
      long lastMs = 0;
      long gapMs = 0;
      for (long renewalMs : renewalsMs) {
        gapMs = Math.max(gapMs, renewalMs - lastMs);
        lastMs = renewalMs;
      }
      return Math.max(gapMs, SLOW_FOR_MS - lastMs);
    }
  }

  @Test
  void acceptsEverySubmissionWithinTheCallersTime() {
    Replay replay = new Replay(new JobPartitions()).play();
    assertEquals(replay.submitted, replay.accepted);
  }

  @Test
  void keepsTheOwner() {
    Replay replay = new Replay(new JobPartitions()).play();
    assertTrue(replay.longestLeaseGapMs() < LEASE_MS, () -> replay.renewalsMs.toString());
  }

  @Test
  void aSinglePartitionServesFewCallersAndLosesTheOwner() {
    Replay replay = new Replay(SINGLE).play();
    assertTrue(replay.accepted < replay.submitted / 2, () -> "accepted " + replay.accepted);
    assertTrue(replay.longestLeaseGapMs() > LEASE_MS, () -> replay.renewalsMs.toString());
  }
}
