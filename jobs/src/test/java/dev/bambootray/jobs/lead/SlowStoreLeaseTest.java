package dev.bambootray.jobs.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays a store that becomes slow for all nodes while an owner keeps writing records. Claims of
 * the other nodes are applied in the same partition as the owner's commits, so a few of them that
 * are not needed keep the owner from renewing its lease.
 */
final class SlowStoreLeaseTest {
  private static final int NODES = 38;
  private static final long READ_MS = 4;
  private static final long TRANSACTION_MS = 5;
  private static final long ROUND_TRIP_MS = 42;
  private static final long COMMIT_TIMEOUT_MS = 1_200;
  private static final long MAX_BACKLOG_MS = 1_000;
  private static final long TICK_MS = 50;
  private static final long SLOW_FROM_MS = 5_000;

  private record Timer(long atMs, long order, Runnable action) {}

  /** The nodes and the store in virtual time. */
  private static final class Replay {
    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::order));
    private final List<PoolLease> leases = new ArrayList<>();
    private final Random random;
    private final int slowFactor;
    private final long slowUntilMs;

    /** How often a commit is sent, as calls without an answer are sent through other nodes too. */
    private final int attempts;

    private @Nullable OwnerRecord owner;
    private long version;
    private long busyUntilMs;
    private long nowMs;
    private long order;
    private long batch;
    private int wins;
    private int claimsOfAnOwnedPool;

    Replay(int slowFactor, long slowMs, int attempts) {
      this.slowFactor = slowFactor;
      this.attempts = attempts;
      slowUntilMs = SLOW_FROM_MS + slowMs;
      random = new Random(1_000L * slowFactor + slowMs);
      for (int node = 0; node < NODES; node++) {
        long claimDelayMs = 60L * (node % 4) + (node < 12 ? 0 : 500);
        PoolLease lease =
            PoolLease.create("n" + node + "/1", PoolLeaseTimes.defaults(claimDelayMs, 6_000));
        leases.add(lease);
        at(random.nextInt((int) TICK_MS), () -> tick(lease));
      }
    }

    Replay play() {
      long endMs = slowUntilMs + 5_000;
      while (!timers.isEmpty() && timers.element().atMs() <= endMs) {
        Timer next = timers.remove();
        nowMs = next.atMs();
        next.action().run();
      }
      return this;
    }

    private void at(long atMs, Runnable action) {
      timers.add(new Timer(atMs, order++, action));
    }

    private long factor() {
      return nowMs >= SLOW_FROM_MS && nowMs < slowUntilMs ? slowFactor : 1;
    }

    private void tick(PoolLease lease) {
      if (lease.isOwner()) {
        batch++;
        handle(lease, new LeaseEvent.Persist(new JobEffect.Persist(batch, List.of(), List.of())));
      }
      handle(lease, new LeaseEvent.Tick());
      at(nowMs + TICK_MS, () -> tick(lease));
    }

    private void handle(PoolLease lease, LeaseEvent event) {
      for (LeaseEffect effect : lease.handle(event, nowMs)) {
        if (effect instanceof LeaseEffect.ReadOwner) {
          read(lease);
        } else if (effect instanceof LeaseEffect.Commit commit) {
          commit(lease, commit);
        } else if (effect instanceof LeaseEffect.Won) {
          wins++;
        }
      }
    }

    private void read(PoolLease lease) {
      long answeredMs = nowMs + ROUND_TRIP_MS / 2 + READ_MS * factor();
      at(
          answeredMs,
          () -> {
            LeaseEvent event = new LeaseEvent.OwnerRead(owner, version);
            at(answeredMs + ROUND_TRIP_MS / 2, () -> handle(lease, event));
          });
    }

    private void commit(PoolLease lease, LeaseEffect.Commit commit) {
      claimsOfAnOwnedPool += nowMs > SLOW_FROM_MS && !lease.isOwner() ? 1 : 0;
      long beginMs = Math.max(nowMs + ROUND_TRIP_MS / 2, busyUntilMs);
      if (beginMs - nowMs > MAX_BACKLOG_MS) {
        at(nowMs + ROUND_TRIP_MS, () -> handle(lease, new LeaseEvent.CommitFailed(false)));
        return;
      }
      long sentMs = nowMs;
      busyUntilMs = beginMs + TRANSACTION_MS * factor();
      long appliedMs = busyUntilMs;
      busyUntilMs += (attempts - 1) * TRANSACTION_MS * factor();
      at(
          appliedMs,
          () -> {
            LeaseEvent event = apply(commit);
            long answeredMs = nowMs + ROUND_TRIP_MS / 2;
            if (answeredMs - sentMs <= COMMIT_TIMEOUT_MS) {
              at(answeredMs, () -> handle(lease, event));
            }
          });
      if (appliedMs + ROUND_TRIP_MS / 2 - sentMs > COMMIT_TIMEOUT_MS) {
        at(sentMs + COMMIT_TIMEOUT_MS, () -> handle(lease, new LeaseEvent.CommitFailed(true)));
      }
    }

    private LeaseEvent apply(LeaseEffect.Commit commit) {
      if (commit.expectedVersion() != version) {
        return new LeaseEvent.Conflicted(owner, version);
      }
      version++;
      owner = commit.owner();
      return new LeaseEvent.Committed(version);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "20, 4000, 1",
    "60, 2000, 1",
    "60, 5500, 1",
    "60, 10000, 1",
    "90, 2000, 1",
    "90, 5500, 1",
    "90, 10000, 1",
    "150, 2000, 1",
    "150, 5500, 1",
    "150, 10000, 1",
    "60, 5500, 2",
    "60, 10000, 2",
    "90, 5500, 2",
    "90, 10000, 2",
    "120, 5500, 2",
    "120, 10000, 2"
  })
  void theOwnerStays(int slowFactor, long slowMs, int attempts) {
    Replay replay = new Replay(slowFactor, slowMs, attempts).play();
    assertEquals(1, replay.wins);
    assertEquals(0, replay.claimsOfAnOwnedPool);
  }
}
