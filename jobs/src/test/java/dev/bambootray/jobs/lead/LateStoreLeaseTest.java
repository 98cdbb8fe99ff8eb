package dev.bambootray.jobs.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.lead.LateStoreReplay.Cause;
import dev.bambootray.jobs.lead.LateStoreReplay.Lateness;
import dev.bambootray.jobs.lead.LateStoreReplay.Range;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against owners that lose the pool while the store answers, but later than usual: each
 * takeover reads everything again and lets leases of runs lapse, so the store and the machines that
 * are already slow get more to do.
 */
final class LateStoreLeaseTest {
  private static final long GIVE_UP_MS = LateStoreReplay.GIVE_UP_MS;
  private static final int SEEDS = 20;
  private static final long LATE_MS = 25_000;
  private static final long END_MS = LateStoreReplay.LATE_FROM_MS + LATE_MS + 5_000;
  private static final Range QUICK = new Range(4, 8);

  private static Lateness late(Range transactions, Cause cause, Range reads, int lostPercent) {
    return new Lateness(
        LateStoreReplay.LATE_FROM_MS + LATE_MS, transactions, cause, reads, lostPercent);
  }

  @Nested
  final class Owner {
    @ParameterizedTest
    @CsvSource({
      "1300, 2000, QUEUE, 300, 900",
      "1300, 4000, QUEUE, 300, 1200",
      "4000, 4000, QUEUE, 600, 1200",
      "1300, 2000, WORK, 300, 900",
      "1300, 4000, WORK, 300, 1200",
      "4000, 4000, WORK, 600, 1200",
      "300, 1250, WAY, 300, 1250",
      "600, 2000, WAY, 600, 2000"
    })
    void staysWhileTheStoreIsLate(
        long minMs, long maxMs, Cause cause, long minReadMs, long maxReadMs) {
      for (long seed = 0; seed < SEEDS; seed++) {
        Lateness lateness =
            late(new Range(minMs, maxMs), cause, new Range(minReadMs, maxReadMs), 0);
        LateStoreReplay replay = new LateStoreReplay(lateness, seed).playUntil(END_MS);
        String story = "seed " + seed + " " + replay.takeoversMs + " " + replay.losses;
        assertEquals(1, replay.takeoversMs.size(), story);
        // Half of what a store can do that serves one commit after another.
        assertTrue(replay.durableWhileLate >= LATE_MS / maxMs / 2, story);
      }
    }

    /** Guards against a commit that is lost and not sent again when the store answers again. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 3_000, 4_000, 4_500})
    void staysIfTheStoreAnswersNothingForAWhile(long silentMs) {
      for (long seed = 0; seed < SEEDS; seed++) {
        long untilMs = LateStoreReplay.LATE_FROM_MS + silentMs;
        Lateness silence = new Lateness(untilMs, QUICK, Cause.WORK, new Range(END_MS, END_MS), 100);
        LateStoreReplay replay = new LateStoreReplay(silence, seed).playUntil(untilMs + GIVE_UP_MS);
        assertEquals(1, replay.takeoversMs.size(), "seed " + seed + " " + replay.losses);
      }
    }

    /** Guards against the runs of two owners: a successor counts on the time to give up. */
    @Test
    void stopsInTimeAfterItWasReplaced() {
      for (long seed = 0; seed < 300; seed++) {
        Random random = new Random(seed);
        Range transactions = new Range(20, 100 + random.nextInt(6_000));
        Range reads = new Range(5, 10 + random.nextInt(2_500));
        Lateness lateness =
            late(transactions, Cause.values()[random.nextInt(3)], reads, random.nextInt(4) * 20);
        LateStoreReplay replay = new LateStoreReplay(lateness, seed).playUntil(END_MS);
        assertTrue(
            replay.longestOverlapMs <= GIVE_UP_MS + LateStoreReplay.TICK_MS,
            "seed " + seed + " " + replay.longestOverlapMs);
      }
    }
  }

  @Nested
  final class Successor {
    @Test
    void takesOverAsSoonAsBeforeAfterACrash() {
      PoolLeaseTimes times = PoolLeaseTimes.defaults(0, GIVE_UP_MS);
      // Reads at intervals find that the row has not changed for the whole expiry time.
      long boundMs = times.expiryMs() + times.readMs() + 3 * LateStoreReplay.TICK_MS;
      for (long seed = 0; seed < SEEDS; seed++) {
        LateStoreReplay replay =
            new LateStoreReplay(late(QUICK, Cause.QUEUE, QUICK, 0), seed)
                .crashOwnerAt(8_000)
                .playUntil(12_000);
        assertEquals(2, replay.takeoversMs.size(), "seed " + seed);
        long tookMs = replay.takeoversMs.get(1) - 8_000;
        assertTrue(tookMs <= boundMs, "seed " + seed + " " + tookMs + " ms");
      }
    }

    @Test
    void takesOverAfterACrashWhileTheStoreIsLate() {
      for (long seed = 0; seed < SEEDS; seed++) {
        LateStoreReplay replay =
            new LateStoreReplay(
                    late(new Range(1_300, 2_000), Cause.QUEUE, new Range(300, 900), 0), seed)
                .crashOwnerAt(12_000)
                .playUntil(END_MS);
        assertTrue(replay.takeoversMs.size() >= 2, "seed " + seed);
        long tookMs = replay.takeoversMs.get(1) - 12_000;
        // The longest expiry, and as long again for the claim.
        assertTrue(tookMs <= 2 * GIVE_UP_MS, "seed " + seed + " " + tookMs + " ms");
      }
    }
  }
}
