package dev.bambootray.core.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates failures of owners and of the table and checks which node owns each region. */
final class RegionOwnershipTest {
  private static final String REGION = "r0";

  private static OwnershipSimulation settled(long seed) {
    OwnershipSimulation simulation = new OwnershipSimulation(seed, 3, 9).run(5_000);
    assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
    return simulation;
  }

  private static Ownership owner(OwnershipSimulation simulation, String region) {
    return simulation.claims().get(RegionId.of(region)).get(0);
  }

  @Nested
  final class Start {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void givesEachRegionOneLocalOwnerWithFewConflicts(long seed) {
      OwnershipSimulation simulation = settled(seed);
      for (RegionId region : simulation.claims().keySet()) {
        int node = Integer.parseInt(owner(simulation, region.value()).owner().value().substring(1));
        assertEquals(region.value(), "r" + node % 3, "a node of the region is preferred");
      }
      assertTrue(simulation.conflicts <= 2, "conflicts " + simulation.conflicts);
    }

    @ParameterizedTest
    @CsvSource({"3,6,1", "5,13,1", "13,13,1", "13,5,3", "13,26,1"})
    void spreadsRegionsEvenlyOverNodes(int regions, int nodes, int most) {
      OwnershipSimulation simulation =
          new OwnershipSimulation(regions * 31L + nodes, regions, nodes);
      simulation.run(240_000);
      assertTrue(simulation.eachRegionHasOneOwner());
      for (int i = 0; i < nodes; i++) {
        assertTrue(
            simulation.owned("n" + i).size() <= most, "n" + i + " " + simulation.owned("n" + i));
      }
      long before = simulation.log.size();
      simulation.run(120_000);
      assertEquals(before, simulation.log.size(), "no region moves without a reason");
    }
  }

  @Nested
  final class OwnerFailure {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void isFollowedByATakeoverUnderTheNextEpochWithinFiveSeconds(long seed) {
      OwnershipSimulation simulation = settled(seed);
      Ownership before = owner(simulation, REGION);
      simulation.stop(before.owner().value());
      simulation.run(3_000);
      simulation.membersChanged();
      simulation.run(2_000);
      assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
      assertEquals(before.epoch() + 1, owner(simulation, REGION).epoch());
    }

    @Test
    void ofAllNodesOfARegionLetsAnotherRegionTakeOver() {
      OwnershipSimulation simulation = settled(6);
      List.of("n0", "n3", "n6").forEach(simulation::stop);
      simulation.run(3_000);
      simulation.membersChanged();
      simulation.run(6_000);
      assertTrue(simulation.eachRegionHasOneOwner());
      simulation.start("n9", REGION);
      simulation.membersChanged();
      simulation.run(30_000);
      assertEquals(
          NodeId.of("n9"), owner(simulation, REGION).owner(), "it returns to a local node");
    }

    /** Guards against a takeover that is delayed by the interval of reading the rows. */
    @ParameterizedTest
    @ValueSource(longs = {0, 130, 260, 390, 520, 650, 780, 910})
    void detectedByTheMembersIsFollowedByATakeoverWithinFourSeconds(long afterMs) {
      OwnershipSimulation simulation = settled(12);
      simulation.run(afterMs);
      Ownership before = owner(simulation, REGION);
      simulation.stop(before.owner().value());
      simulation.run(2_500);
      simulation.declareDead(before.owner().value(), REGION);
      simulation.run(1_500);
      assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
    }

    @Test
    void ofAProcessThatReturnsUnderTheSameNameRaisesTheEpoch() {
      OwnershipSimulation simulation = settled(7);
      Ownership before = owner(simulation, REGION);
      simulation.stop(before.owner().value());
      simulation.run(500);
      simulation.start(before.owner().value(), REGION);
      simulation.membersChanged();
      simulation.run(5_000);
      assertTrue(simulation.eachRegionHasOneOwner());
      assertTrue(owner(simulation, REGION).epoch() > before.epoch());
    }
  }

  @Nested
  final class HolderPausedPastItsLease {
    @Test
    void keepsTheLowerEpochUntilItReadsTheRowAndStepsDown() {
      OwnershipSimulation simulation = settled(8);
      Ownership old = owner(simulation, REGION);
      simulation.pause(old.owner().value(), 8_000);
      simulation.run(7_000);
      List<Ownership> claims = simulation.claims().get(RegionId.of(REGION));
      assertEquals(2, claims.size(), "the paused holder still keeps its claim");
      Ownership taken = claims.stream().filter(claim -> !claim.equals(old)).findFirst().get();
      assertEquals(old.epoch() + 1, taken.epoch(), "workers refuse the old holder by its epoch");
      simulation.run(3_000);
      assertTrue(simulation.eachRegionHasOneOwner());
      assertEquals(taken, owner(simulation, REGION));
    }

    @Test
    void stepsDownAtOnceWhenAWorkerRefusesItsEpoch() {
      OwnershipSimulation simulation = settled(9);
      Ownership old = owner(simulation, REGION);
      simulation.cutOff(old.owner().value(), true);
      simulation.run(7_000);
      assertEquals(List.of(old), simulation.owned(old.owner().value()), "cut off, it continues");
      simulation.post(
          old.owner().value(),
          new OwnershipEvent.EpochRefused(RegionId.of(REGION), old.epoch() + 1));
      assertEquals(List.of(), simulation.owned(old.owner().value()));
    }
  }

  @Nested
  final class Table {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void outageOfThirtyMinutesChangesNoOwner(long seed) {
      OwnershipSimulation simulation = settled(seed);
      int before = simulation.log.size();
      simulation.tableUnavailable(true);
      simulation.run(1_800_000);
      assertTrue(simulation.eachRegionHasOneOwner(), "holders continue");
      simulation.tableUnavailable(false);
      simulation.run(20_000);
      assertEquals(before, simulation.log.size(), () -> simulation.log.toString());
    }

    /**
     * After an outage, backoff can delay an owner's renewal by 2 s after the others read the rows.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450, 600, 750, 900})
    void outageAfterWhichOwnersRenewLateChangesNoOwner(long afterMs) {
      OwnershipSimulation simulation = settled(13);
      simulation.run(afterMs);
      int before = simulation.log.size();
      List<String> owners =
          simulation.claims().values().stream()
              .map(claims -> claims.get(0).owner().value())
              .toList();
      simulation.tableUnavailable(true);
      simulation.run(60_000);
      simulation.tableUnavailable(false);
      owners.forEach(owner -> simulation.cutOff(owner, true));
      simulation.run(2_000);
      owners.forEach(owner -> simulation.cutOff(owner, false));
      simulation.run(20_000);
      assertEquals(before, simulation.log.size(), () -> simulation.log.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void lostAnswersAreSettledByReadingTheRow(long seed) {
      OwnershipSimulation simulation = new OwnershipSimulation(seed, 3, 9);
      simulation.loseAnswers(0.5);
      simulation.run(20_000);
      assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
      Set<Long> epochs = new TreeSet<>();
      for (int i = 0; i < 3; i++) {
        epochs.add(simulation.row("r" + i).epoch());
      }
      assertEquals(Set.of(1L), epochs, "a lost answer leads to no second takeover");
    }
  }

  /** Two claims under one epoch would let two nodes grant the same capacity. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void noEpochIsGainedTwiceInAMixOfFailures(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 900);
    OwnershipSimulation simulation = settled(seed);
    simulation.loseAnswers(0.3);
    for (int round = 0; round < 60; round++) {
      String node = "n" + random.nextInt(9);
      switch (random.nextInt(6)) {
        case 0 -> simulation.pause(node, random.nextInt(9_000));
        case 1 -> simulation.cutOff(node, true);
        case 2 -> simulation.cutOff(node, false);
        case 3 -> simulation.tableUnavailable(random.nextBoolean());
        case 4 -> simulation.restart(node);
        default -> simulation.membersChanged();
      }
      simulation.run(random.nextInt(5_000));
    }
    assertEquals(List.of(), simulation.epochsGainedTwice());
    simulation.tableUnavailable(false);
    for (int i = 0; i < 9; i++) {
      simulation.cutOff("n" + i, false);
    }
    simulation.run(60_000);
    assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
  }

  @Test
  void plannedStopReleasesAtOnceAndAnotherNodeTakesOverWithinTwoSeconds() {
    OwnershipSimulation simulation = settled(10);
    Ownership old = owner(simulation, REGION);
    simulation.post(old.owner().value(), new OwnershipEvent.ReleaseRequested());
    assertEquals(List.of(), simulation.owned(old.owner().value()));
    simulation.run(2_000);
    assertTrue(simulation.eachRegionHasOneOwner(), () -> simulation.log.toString());
    assertNotEquals(old.owner(), owner(simulation, REGION).owner());
    assertEquals(old.epoch() + 1, owner(simulation, REGION).epoch());
  }

  @Test
  void renewalsAreOneWriteASecondForEachRegion() {
    OwnershipSimulation simulation = settled(11);
    long before = simulation.writes;
    simulation.run(60_000);
    assertTrue(simulation.writes - before <= 3 * 60, "writes " + (simulation.writes - before));
  }
}
