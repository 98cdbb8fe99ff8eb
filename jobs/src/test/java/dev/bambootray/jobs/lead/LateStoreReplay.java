package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Nodes and a store in virtual time, which answers late for a while. */
final class LateStoreReplay {
  static final long TICK_MS = 50;
  static final long LATE_FROM_MS = 5_000;

  /** Time after a takeover until which an earlier owner may act, as SchedulerTimes assumes. */
  static final long GIVE_UP_MS = 6_000;

  private static final int NODES = 38;
  private static final long ROUND_TRIP_MS = 42;
  private static final long TRANSACTION_MS = 5;
  private static final long READ_LIMIT_MS = 1_300;
  private static final long MAX_BACKLOG_MS = 1_000;

  /** Why transactions take long. */
  enum Cause {
    /** They are applied one after another, and refused while many of them wait. */
    QUEUE,
    /** Each is applied late, whatever other transactions there are. */
    WORK,
    /** Calls and answers are delayed on their way. */
    WAY
  }

  /** A range of times in milliseconds. */
  record Range(long minMs, long maxMs) {
    long draw(Random random) {
      return minMs + random.nextInt((int) (maxMs - minMs) + 1);
    }
  }

  /**
   * What is late.
   *
   * @param untilMs end of the time in which the store is late
   * @param transactions time that a transaction takes
   * @param cause why transactions take long
   * @param reads time that a read takes
   * @param lostPercent share of the commits whose call or answer is lost
   */
  record Lateness(long untilMs, Range transactions, Cause cause, Range reads, int lostPercent) {}

  private record Timer(long atMs, long order, Runnable action) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::order));
  private final Map<PoolLease, Long> replacedMs = new HashMap<>();
  private final Map<PoolLease, LeaseEffect.Commit> newestCommits = new HashMap<>();
  private final Lateness lateness;
  private final Random random;
  private @Nullable PoolLease crashed;
  private @Nullable PoolLease ownerByRow;
  private @Nullable OwnerRecord owner;
  private long version;
  private long busyUntilMs;
  private long nowMs;
  private long order;
  private long batch;

  /** Times at which a claim was applied. */
  final List<Long> takeoversMs = new ArrayList<>();

  /** Reasons for which owners lost the pool. */
  final List<String> losses = new ArrayList<>();

  /** Number of batches that became durable while the store was late. */
  int durableWhileLate;

  /** Longest time for which an earlier owner acted after a takeover, in milliseconds. */
  long longestOverlapMs;

  /** Number of commits that nodes sent which were not the owner while the store was late. */
  int claimsWhileLate;

  LateStoreReplay(Lateness lateness, long seed) {
    this.lateness = lateness;
    random = new Random(seed);
    for (int node = 0; node < NODES; node++) {
      long claimDelayMs = 60L * (node % 4) + (node < 12 ? 0 : 500);
      PoolLease lease =
          PoolLease.create("n" + node + "/1", PoolLeaseTimes.defaults(claimDelayMs, GIVE_UP_MS));
      at(random.nextInt((int) TICK_MS), () -> tick(lease));
    }
  }

  /** Ends the process of the owner at the given time. */
  LateStoreReplay crashOwnerAt(long atMs) {
    at(atMs, () -> crashed = ownerByRow);
    return this;
  }

  LateStoreReplay playUntil(long endMs) {
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

  private boolean isLate() {
    return nowMs >= LATE_FROM_MS && nowMs < lateness.untilMs();
  }

  private void tick(PoolLease lease) {
    if (lease == crashed) {
      return;
    }
    if (lease.isOwner()) {
      batch++;
      handle(lease, new LeaseEvent.Persist(new JobEffect.Persist(batch, List.of(), List.of())));
    }
    handle(lease, new LeaseEvent.Tick());
    Long sinceMs = replacedMs.get(lease);
    if (lease.isOwner() && sinceMs != null) {
      longestOverlapMs = Math.max(longestOverlapMs, nowMs - sinceMs);
    }
    at(nowMs + TICK_MS, () -> tick(lease));
  }

  private void handle(PoolLease lease, LeaseEvent event) {
    if (lease == crashed) {
      return;
    }
    for (LeaseEffect effect : lease.handle(event, nowMs)) {
      if (effect instanceof LeaseEffect.ReadOwner) {
        read(lease);
      } else if (effect instanceof LeaseEffect.Commit commit) {
        commit(lease, commit, lease.commitTimeoutMs());
      } else if (effect instanceof LeaseEffect.Lost lost) {
        losses.add(nowMs + " " + lost.reason());
      } else if (effect instanceof LeaseEffect.BatchDurable) {
        durableWhileLate += isLate() ? 1 : 0;
      }
    }
  }

  private void read(PoolLease lease) {
    long sentMs = nowMs;
    long tookMs = ROUND_TRIP_MS + (isLate() ? lateness.reads().draw(random) : TRANSACTION_MS);
    long shownMs = sentMs + random.nextInt((int) tookMs + 1);
    at(
        shownMs,
        () -> {
          LeaseEvent event = new LeaseEvent.OwnerRead(owner, version);
          if (tookMs <= READ_LIMIT_MS) {
            at(sentMs + tookMs, () -> handle(lease, event));
          }
        });
    if (tookMs > READ_LIMIT_MS) {
      at(sentMs + READ_LIMIT_MS, () -> handle(lease, new LeaseEvent.ReadFailed()));
    }
  }

  private void answer(PoolLease lease, LeaseEffect.Commit commit, LeaseEvent event) {
    if (newestCommits.get(lease) == commit) {
      handle(lease, event);
    }
  }

  private void commit(PoolLease lease, LeaseEffect.Commit commit, long limitMs) {
    newestCommits.put(lease, commit);
    claimsWhileLate += isLate() && !lease.isOwner() ? 1 : 0;
    long transactionMs = isLate() ? lateness.transactions().draw(random) : TRANSACTION_MS;
    long beginMs = nowMs + ROUND_TRIP_MS / 2;
    if (lateness.cause() == Cause.QUEUE) {
      beginMs = Math.max(beginMs, busyUntilMs);
      if (beginMs - nowMs > MAX_BACKLOG_MS) {
        at(nowMs + ROUND_TRIP_MS, () -> answer(lease, commit, new LeaseEvent.CommitFailed(false)));
        return;
      }
      busyUntilMs = beginMs + transactionMs;
    }
    long appliedMs = beginMs + transactionMs;
    if (lateness.cause() == Cause.WAY) {
      appliedMs = beginMs + random.nextInt((int) transactionMs + 1);
    }
    long answeredMs = beginMs + transactionMs + ROUND_TRIP_MS / 2;
    boolean late = answeredMs - nowMs > limitMs;
    int lot = isLate() ? random.nextInt(100) : 100;
    boolean lost = lot < lateness.lostPercent();
    boolean callLost = lost && lot % 2 == 0;
    at(
        appliedMs,
        () -> {
          if (callLost) {
            return;
          }
          LeaseEvent event = apply(lease, commit);
          if (!late && !lost) {
            at(answeredMs, () -> answer(lease, commit, event));
          }
        });
    if (late || lost) {
      at(nowMs + limitMs, () -> answer(lease, commit, new LeaseEvent.CommitFailed(true)));
    }
  }

  private LeaseEvent apply(PoolLease lease, LeaseEffect.Commit commit) {
    if (commit.expectedVersion() != version) {
      return new LeaseEvent.Conflicted(owner, version);
    }
    version++;
    if (lease != ownerByRow || owner == null || owner.epoch() != commit.owner().epoch()) {
      if (ownerByRow != null && ownerByRow != lease) {
        replacedMs.put(ownerByRow, nowMs);
      }
      replacedMs.remove(lease);
      ownerByRow = lease;
      takeoversMs.add(nowMs);
    }
    owner = commit.owner();
    return new LeaseEvent.Committed(version);
  }
}
