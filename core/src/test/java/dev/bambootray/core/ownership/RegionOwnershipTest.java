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
    OwnershipSimulation loop = new OwnershipSimulation(seed, 3, 9).run(5_000);
    assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
    return loop;
  }

  private static Ownership owner(OwnershipSimulation loop, String region) {
    return loop.claims().get(RegionId.of(region)).get(0);
  }

  @Nested
  final class Start {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void givesEachRegionOneLocalOwnerWithFewConflicts(long seed) {
      OwnershipSimulation loop = settled(seed);
      for (RegionId region : loop.claims().keySet()) {
        int node = Integer.parseInt(owner(loop, region.value()).owner().value().substring(1));
        assertEquals(region.value(), "r" + node % 3, "a node of the region is preferred");
      }
      assertTrue(loop.conflicts <= 2, "conflicts " + loop.conflicts);
    }

    @ParameterizedTest
    @CsvSource({"3,6,1", "5,13,1", "13,13,1", "13,5,3", "13,26,1"})
    void spreadsRegionsEvenlyOverNodes(int regions, int nodes, int most) {
      OwnershipSimulation loop = new OwnershipSimulation(regions * 31L + nodes, regions, nodes);
      loop.run(240_000);
      assertTrue(loop.eachRegionHasOneOwner());
      for (int i = 0; i < nodes; i++) {
        assertTrue(loop.owned("n" + i).size() <= most, "n" + i + " " + loop.owned("n" + i));
      }
      long before = loop.log.size();
      loop.run(120_000);
      assertEquals(before, loop.log.size(), "no region moves without a reason");
    }
  }

  @Nested
  final class OwnerFailure {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void isFollowedByATakeoverUnderTheNextEpochWithinFiveSeconds(long seed) {
      OwnershipSimulation loop = settled(seed);
      Ownership before = owner(loop, REGION);
      loop.stop(before.owner().value());
      loop.run(3_000);
      loop.membersChanged();
      loop.run(2_000);
      assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
      assertEquals(before.epoch() + 1, owner(loop, REGION).epoch());
    }

    @Test
    void ofAllNodesOfARegionLetsAnotherRegionTakeOver() {
      OwnershipSimulation loop = settled(6);
      List.of("n0", "n3", "n6").forEach(loop::stop);
      loop.run(3_000);
      loop.membersChanged();
      loop.run(6_000);
      assertTrue(loop.eachRegionHasOneOwner());
      loop.start("n9", REGION);
      loop.membersChanged();
      loop.run(30_000);
      assertEquals(NodeId.of("n9"), owner(loop, REGION).owner(), "it returns to a local node");
    }

    /** Guards against a takeover that is delayed by the interval of reading the rows. */
    @ParameterizedTest
    @ValueSource(longs = {0, 130, 260, 390, 520, 650, 780, 910})
    void detectedByTheMembersIsFollowedByATakeoverWithinFourSeconds(long afterMs) {
      OwnershipSimulation loop = settled(12);
      loop.run(afterMs);
      Ownership before = owner(loop, REGION);
      loop.stop(before.owner().value());
      loop.run(2_500);
      loop.declareDead(before.owner().value(), REGION);
      loop.run(1_500);
      assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
    }

    @Test
    void ofAProcessThatReturnsUnderTheSameNameRaisesTheEpoch() {
      OwnershipSimulation loop = settled(7);
      Ownership before = owner(loop, REGION);
      loop.stop(before.owner().value());
      loop.run(500);
      loop.start(before.owner().value(), REGION);
      loop.membersChanged();
      loop.run(5_000);
      assertTrue(loop.eachRegionHasOneOwner());
      assertTrue(owner(loop, REGION).epoch() > before.epoch());
    }
  }

  @Nested
  final class HolderPausedPastItsLease {
    @Test
    void keepsTheLowerEpochUntilItReadsTheRowAndStepsDown() {
      OwnershipSimulation loop = settled(8);
      Ownership old = owner(loop, REGION);
      loop.pause(old.owner().value(), 8_000);
      loop.run(7_000);
      List<Ownership> claims = loop.claims().get(RegionId.of(REGION));
      assertEquals(2, claims.size(), "the paused holder still keeps its claim");
      Ownership taken = claims.stream().filter(claim -> !claim.equals(old)).findFirst().get();
      assertEquals(old.epoch() + 1, taken.epoch(), "workers refuse the old holder by its epoch");
      loop.run(3_000);
      assertTrue(loop.eachRegionHasOneOwner());
      assertEquals(taken, owner(loop, REGION));
    }

    @Test
    void stepsDownAtOnceWhenAWorkerRefusesItsEpoch() {
      OwnershipSimulation loop = settled(9);
      Ownership old = owner(loop, REGION);
      loop.cutOff(old.owner().value(), true);
      loop.run(7_000);
      assertEquals(List.of(old), loop.owned(old.owner().value()), "cut off, it continues");
      loop.post(
          old.owner().value(),
          new OwnershipEvent.EpochRefused(RegionId.of(REGION), old.epoch() + 1));
      assertEquals(List.of(), loop.owned(old.owner().value()));
    }
  }

  @Nested
  final class Table {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void outageOfThirtyMinutesChangesNoOwner(long seed) {
      OwnershipSimulation loop = settled(seed);
      int before = loop.log.size();
      loop.tableUnavailable(true);
      loop.run(1_800_000);
      assertTrue(loop.eachRegionHasOneOwner(), "holders continue");
      loop.tableUnavailable(false);
      loop.run(20_000);
      assertEquals(before, loop.log.size(), () -> loop.log.toString());
    }

    /**
     * After an outage, backoff can delay an owner's renewal by 2 s after the others read the rows.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450, 600, 750, 900})
    void outageAfterWhichOwnersRenewLateChangesNoOwner(long afterMs) {
      OwnershipSimulation loop = settled(13);
      loop.run(afterMs);
      int before = loop.log.size();
      List<String> owners =
          loop.claims().values().stream().map(claims -> claims.get(0).owner().value()).toList();
      loop.tableUnavailable(true);
      loop.run(60_000);
      loop.tableUnavailable(false);
      owners.forEach(owner -> loop.cutOff(owner, true));
      loop.run(2_000);
      owners.forEach(owner -> loop.cutOff(owner, false));
      loop.run(20_000);
      assertEquals(before, loop.log.size(), () -> loop.log.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void lostAnswersAreSettledByReadingTheRow(long seed) {
      OwnershipSimulation loop = new OwnershipSimulation(seed, 3, 9);
      loop.loseAnswers(0.5);
      loop.run(20_000);
      assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
      Set<Long> epochs = new TreeSet<>();
      for (int i = 0; i < 3; i++) {
        epochs.add(loop.row("r" + i).epoch());
      }
      assertEquals(Set.of(1L), epochs, "a lost answer leads to no second takeover");
    }
  }

  /** Two claims under one epoch would let two nodes grant the same capacity. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void noEpochIsGainedTwiceInAMixOfFailures(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 900);
    OwnershipSimulation loop = settled(seed);
    loop.loseAnswers(0.3);
    for (int round = 0; round < 60; round++) {
      String node = "n" + random.nextInt(9);
      switch (random.nextInt(6)) {
        case 0 -> loop.pause(node, random.nextInt(9_000));
        case 1 -> loop.cutOff(node, true);
        case 2 -> loop.cutOff(node, false);
        case 3 -> loop.tableUnavailable(random.nextBoolean());
        case 4 -> loop.restart(node);
        default -> loop.membersChanged();
      }
      loop.run(random.nextInt(5_000));
    }
    assertEquals(List.of(), loop.epochsGainedTwice());
    loop.tableUnavailable(false);
    for (int i = 0; i < 9; i++) {
      loop.cutOff("n" + i, false);
    }
    loop.run(60_000);
    assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
  }

  @Test
  void plannedStopReleasesAtOnceAndAnotherNodeTakesOverWithinTwoSeconds() {
    OwnershipSimulation loop = settled(10);
    Ownership old = owner(loop, REGION);
    loop.post(old.owner().value(), new OwnershipEvent.ReleaseRequested());
    assertEquals(List.of(), loop.owned(old.owner().value()));
    loop.run(2_000);
    assertTrue(loop.eachRegionHasOneOwner(), () -> loop.log.toString());
    assertNotEquals(old.owner(), owner(loop, REGION).owner());
    assertEquals(old.epoch() + 1, owner(loop, REGION).epoch());
  }

  @Test
  void renewalsAreOneWriteASecondForEachRegion() {
    OwnershipSimulation loop = settled(11);
    long before = loop.writes;
    loop.run(60_000);
    assertTrue(loop.writes - before <= 3 * 60, "writes " + (loop.writes - before));
  }
}
