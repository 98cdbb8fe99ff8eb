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

/**
 * Runs write queues against a simulated table that has outages, loses answers and rejects writes.
 */
final class WriteQueueTest {

  @Nested
  final class Order {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void ofWritesToOneRowIsKeptThroughLostAnswersAndConflicts(long seed) {
      StoreSimulation simulation = new StoreSimulation(seed, 1).loseAnswers(0.3).fail(0.3);
      List<Long> expected = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        simulation.write(0, "row/" + i % 7, i % 11 == 10 ? 999 : RowWrite.ANY_VERSION, false);
        expected.add((long) i + 1);
        simulation.run(20);
      }
      simulation.run(120_000);
      assertEquals(expected.size(), simulation.settled(0).size(), "every write ends");
      for (int row = 0; row < 7; row++) {
        List<Long> applied = simulation.appliedTo("row/" + row);
        assertEquals(applied.stream().sorted().toList(), applied, "in order of submission");
        assertEquals(new HashSet<>(applied).size(), applied.size(), "each once");
      }
      assertEquals(
          simulation.appliedCount(), simulation.committed(0).size(), "reported as it happened");
    }

    @Test
    void ofAnUrgentWriteBehindAnEarlierWriteOfItsRowIsKept() {
      StoreSimulation simulation = new StoreSimulation(5, 1);
      List.of("b", "c", "d", "e")
          .forEach(row -> simulation.write(0, row, RowWrite.ANY_VERSION, false));
      simulation.write(0, "a", RowWrite.ANY_VERSION, false);
      simulation.write(0, "a", RowWrite.ANY_VERSION, true);
      simulation.write(0, "a", RowWrite.ANY_VERSION, false);
      simulation.run(1_000);
      assertEquals(List.of(5L, 6L, 7L), simulation.appliedTo("a"));
    }
  }

  @Nested
  final class Grouping {
    @Test
    void keepsABurstWithinTheRateOfTheCluster() {
      StoreSimulation simulation = new StoreSimulation(11, 9);
      for (int node = 0; node < 9; node++) {
        for (int i = 0; i < 500; i++) {
          simulation.write(node, "request/w/" + node + "-" + i, 0, false);
        }
      }
      simulation.run(10_000);
      assertEquals(4_500, simulation.appliedCount());
      assertTrue(
          simulation.mostTransactionsInTenSeconds() <= 500, simulation.perSecond().toString());
    }

    @Test
    void failsOnlyTheMemberWhoseConditionDoesNotHold() {
      StoreSimulation simulation = new StoreSimulation(12, 1);
      simulation.write(0, "blocker", RowWrite.ANY_VERSION, false);
      for (int i = 0; i < 30; i++) {
        simulation.write(0, "x/" + i, i == 13 ? 7 : 0, false);
      }
      simulation.run(10_000);
      assertEquals(30, simulation.committed(0).size());
      assertEquals(Set.of(15L), new HashSet<>(simulation.conflicted(0)));
    }
  }

  @Nested
  final class OutageOfThirtyMinutes {
    @Test
    void endsWithoutABurstAndEveryWriteTakesEffectOnce() {
      StoreSimulation simulation = new StoreSimulation(21, 9);
      simulation.run(2_000);
      simulation.setOutage(true);
      for (int minute = 0; minute < 30; minute++) {
        for (int node = 0; node < 9; node++) {
          for (int i = 0; i < 30; i++) {
            simulation.write(node, "request/w/" + node + "-" + minute + "-" + i, 0, false);
            simulation.read(node);
          }
          simulation.write(node, "owner/r" + node, RowWrite.ANY_VERSION, true);
        }
        simulation.run(60_000);
      }
      assertFalse(simulation.isAvailable(0));
      assertTrue(
          simulation.callsPerSecondDuringOutage() <= 9 * 2,
          "calls " + simulation.callsPerSecondDuringOutage());
      simulation.setOutage(false);
      simulation.clearCounts();
      simulation.run(60_000);
      assertEquals(9 * 30 * 30, simulation.appliedWithPrefix("request/"));
      assertEquals(0, simulation.appliedWithPrefix("owner/"), "overdue renewals are dropped");
      assertTrue(simulation.mostTransactionsInASecond() <= 50, simulation.perSecond().toString());
      assertTrue(
          simulation.mostReadsInASecond() <= 200, "reads " + simulation.mostReadsInASecond());
      assertTrue(simulation.isAvailable(0));
    }

    @Test
    void refusesWhatDoesNotFitAndKeepsTheRest() {
      StoreSimulation simulation = new StoreSimulation(22, 1);
      simulation.setOutage(true);
      IntStream.range(0, WriteQueue.MAX_WAITING_WRITES + 100)
          .forEach(i -> simulation.write(0, "request/w/" + i, 0, false));
      int refused = simulation.rejected(0).size();
      assertTrue(refused >= 90 && refused <= 100, "refused " + refused);
      simulation.run(1_800_000);
      simulation.setOutage(false);
      simulation.run(60_000);
      assertEquals(WriteQueue.MAX_WAITING_WRITES + 100 - refused, simulation.appliedCount());
    }
  }
}
