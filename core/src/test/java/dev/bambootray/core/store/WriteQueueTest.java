package dev.bambootray.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Drives write queues against a small table that goes away, loses answers and refuses writes. */
final class WriteQueueTest {

  @Nested
  final class Order {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void ofWritesToOneRowIsKeptThroughLostAnswersAndConflicts(long seed) {
      StoreLoop loop = new StoreLoop(seed, 1).loseAnswers(0.3).fail(0.3);
      List<Long> expected = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        loop.write(0, "row/" + i % 7, i % 11 == 10 ? 999 : RowWrite.ANY_VERSION, false);
        expected.add((long) i + 1);
        loop.run(20);
      }
      loop.run(120_000);
      assertEquals(expected.size(), loop.settled(0).size(), "every write ends");
      for (int row = 0; row < 7; row++) {
        List<Long> applied = loop.appliedTo("row/" + row);
        assertEquals(applied.stream().sorted().toList(), applied, "in order of submission");
        assertEquals(new HashSet<>(applied).size(), applied.size(), "each once");
      }
      assertEquals(loop.appliedCount(), loop.committed(0).size(), "told as it happened");
    }

    @Test
    void ofAnUrgentWriteBehindAnEarlierWriteOfItsRowIsKept() {
      StoreLoop loop = new StoreLoop(5, 1);
      List.of("b", "c", "d", "e").forEach(row -> loop.write(0, row, RowWrite.ANY_VERSION, false));
      loop.write(0, "a", RowWrite.ANY_VERSION, false);
      loop.write(0, "a", RowWrite.ANY_VERSION, true);
      loop.write(0, "a", RowWrite.ANY_VERSION, false);
      loop.run(1_000);
      assertEquals(List.of(5L, 6L, 7L), loop.appliedTo("a"));
    }
  }

  @Nested
  final class Grouping {
    @Test
    void keepsABurstWithinTheRateOfTheCluster() {
      StoreLoop loop = new StoreLoop(11, 9);
      for (int node = 0; node < 9; node++) {
        for (int i = 0; i < 500; i++) {
          loop.write(node, "request/w/" + node + "-" + i, 0, false);
        }
      }
      loop.run(10_000);
      assertEquals(4_500, loop.appliedCount());
      assertTrue(loop.mostTransactionsInTenSeconds() <= 500, loop.perSecond().toString());
    }

    @Test
    void failsOnlyTheMemberWhoseConditionDoesNotHold() {
      StoreLoop loop = new StoreLoop(12, 1);
      loop.write(0, "blocker", RowWrite.ANY_VERSION, false);
      for (int i = 0; i < 30; i++) {
        loop.write(0, "x/" + i, i == 13 ? 7 : 0, false);
      }
      loop.run(10_000);
      assertEquals(30, loop.committed(0).size());
      assertEquals(Set.of(15L), new HashSet<>(loop.conflicted(0)));
    }
  }

  @Nested
  final class OutageOfThirtyMinutes {
    @Test
    void endsWithoutAHerdAndEveryWriteTakesEffectOnce() {
      StoreLoop loop = new StoreLoop(21, 9);
      loop.run(2_000);
      loop.away(true);
      for (int minute = 0; minute < 30; minute++) {
        for (int node = 0; node < 9; node++) {
          for (int i = 0; i < 30; i++) {
            loop.write(node, "request/w/" + node + "-" + minute + "-" + i, 0, false);
            loop.read(node);
          }
          loop.write(node, "owner/r" + node, RowWrite.ANY_VERSION, true);
        }
        loop.run(60_000);
      }
      assertFalse(loop.isAvailable(0));
      assertTrue(
          loop.callsPerSecondDuringOutage() <= 9 * 2, "calls " + loop.callsPerSecondDuringOutage());
      loop.away(false);
      loop.clearCounts();
      loop.run(60_000);
      assertEquals(9 * 30 * 30, loop.appliedWithPrefix("request/"));
      assertEquals(0, loop.appliedWithPrefix("owner/"), "overdue renewals are dropped");
      assertTrue(loop.mostTransactionsInASecond() <= 50, loop.perSecond().toString());
      assertTrue(loop.mostReadsInASecond() <= 200, "reads " + loop.mostReadsInASecond());
      assertTrue(loop.isAvailable(0));
    }

    @Test
    void refusesWhatDoesNotFitAndKeepsTheRest() {
      StoreLoop loop = new StoreLoop(22, 1);
      loop.away(true);
      IntStream.range(0, WriteQueue.MAX_WAITING_WRITES + 100)
          .forEach(i -> loop.write(0, "request/w/" + i, 0, false));
      int refused = loop.rejected(0).size();
      assertTrue(refused >= 90 && refused <= 100, "refused " + refused);
      loop.run(1_800_000);
      loop.away(false);
      loop.run(60_000);
      assertEquals(WriteQueue.MAX_WAITING_WRITES + 100 - refused, loop.appliedCount());
    }
  }
}
