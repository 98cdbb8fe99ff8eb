package dev.bambootray.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates failures during publications and checks under which version each node serves. */
final class ConfigurationStateTest {
  private static final String[] ALL = {"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"};

  private static ConfigurationSimulation withVersionOne(long seed) {
    ConfigurationSimulation simulation = new ConfigurationSimulation(seed, 9).run(3_000);
    simulation.publish("n0", 1, "one", 0);
    simulation.run(2_000);
    assertEquals(new PublishOutcome.Accepted(1), simulation.outcomes.get(1L));
    assertTrue(simulation.allCurrentAt(1), "in force on all nodes within 2 s");
    return simulation;
  }

  private static boolean isolates(String name, NodeId from, NodeId to) {
    return from.value().equals(name) != to.value().equals(name);
  }

  private static boolean isBefore(String first, NodeId node) {
    return node.compareTo(NodeId.of(first)) < 0;
  }

  @Nested
  final class CutOff {
    @Test
    void nodeNeverServesUnderTheOldVersionLaterThanFiveSecondsAfterAcceptance() {
      ConfigurationSimulation simulation = withVersionOne(1);
      simulation.cut((from, to) -> isolates("n8", from, to));
      simulation.withoutTable("n8");
      simulation.publish("n0", 2, "two", 1);
      simulation.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), simulation.outcomes.get(2L));
      assertEquals(1, simulation.version("n8"));
      simulation.run(20_000);
      assertFalse(simulation.isCurrent("n8"));
      assertEquals(List.of(), simulation.violations);
      simulation.cut((from, to) -> false);
      simulation.withoutTable();
      simulation.run(3_000);
      assertTrue(simulation.allCurrentAt(2));
    }

    @Test
    void minorityWithoutTheTableRefusesNewWorkAndTheMajorityServes() {
      ConfigurationSimulation simulation = withVersionOne(2);
      simulation.withoutTable(ALL);
      simulation.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      simulation.run(6_000);
      assertTrue(simulation.isCurrent("n0"), "five of nine");
      assertFalse(simulation.isCurrent("n7"), "four of nine");
    }

    @Test
    void publisherWithoutAMajorityReportsTheMissingMembers() {
      ConfigurationSimulation simulation = withVersionOne(3);
      simulation.cut((from, to) -> isBefore("n3", from) != isBefore("n3", to));
      simulation.withoutTable("n3", "n4", "n5", "n6", "n7", "n8");
      simulation.publish("n0", 2, "two", 1);
      simulation.run(7_000);
      PublishOutcome.Committed committed =
          assertInstanceOf(PublishOutcome.Committed.class, simulation.outcomes.get(2L));
      assertEquals(6, committed.missing().size());
      assertTrue(simulation.isCurrent("n0"), "it reads the table");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void anyMixOfCutsPausesAndRestartsKeepsTheLimitOfFiveSeconds(long seed) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 500);
      ConfigurationSimulation simulation = withVersionOne(seed);
      simulation.loseAnswers(0.2);
      for (int round = 2; round < 40; round++) {
        String name = ALL[random.nextInt(9)];
        int split = random.nextInt(9);
        switch (random.nextInt(6)) {
          case 0 -> simulation.pause(name, random.nextInt(8_000));
          case 1 -> simulation.cut((from, to) -> isolates(name, from, to));
          case 2 ->
              simulation.cut(
                  (from, to) -> isBefore("n" + split, from) != isBefore("n" + split, to));
          case 3 -> simulation.withoutTable(ALL[random.nextInt(9)], name);
          case 4 -> simulation.restart(name);
          default -> {
            simulation.cut((from, to) -> false);
            simulation.withoutTable();
          }
        }
        String publisher = ALL[random.nextInt(9)];
        simulation.publish(publisher, round, "text " + round, simulation.version(publisher));
        simulation.run(random.nextInt(6_000));
      }
      assertEquals(List.of(), simulation.violations);
    }
  }

  @Nested
  final class Restart {
    @Test
    void duringAnOutageTakesTheVersionFromAMajorityOfPeers() {
      ConfigurationSimulation simulation = withVersionOne(11);
      simulation.withoutTable(ALL);
      simulation.run(10_000);
      assertTrue(
          simulation.allCurrentAt(1), "nodes exchange versions while the table is unavailable");
      simulation.restart("n4");
      simulation.run(3_000);
      assertTrue(simulation.allCurrentAt(1));
    }

    @Test
    void withOnlyAMinorityOfPeersIsNotReady() {
      ConfigurationSimulation simulation = withVersionOne(12);
      simulation.withoutTable(ALL);
      simulation.restart("n4");
      simulation.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      simulation.run(10_000);
      assertFalse(simulation.isCurrent("n4"), "four peers of nine members");
    }

    /**
     * After its restart n4 no longer holds version 2, which it had confirmed, and must not count
     * towards a majority for version 1.
     */
    @Test
    void ofAConfirmingNodeGivesTheOldVersionNoMajority() {
      ConfigurationSimulation simulation = withVersionOne(14);
      simulation.cut((from, to) -> isBefore("n4", from) != isBefore("n4", to));
      simulation.withoutTable("n0", "n1", "n2", "n3");
      simulation.publish("n8", 2, "two", 1);
      simulation.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), simulation.outcomes.get(2L));
      simulation.withoutTable(ALL);
      simulation.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      simulation.restart("n4");
      simulation.run(10_000);
      assertEquals(1, simulation.version("n4"), "it holds the version of its peers");
      assertFalse(simulation.isCurrent("n4"));
      assertFalse(simulation.isCurrent("n0"));
      assertEquals(List.of(), simulation.violations);
    }

    @Test
    void ofAllNodesTakesTheVersionFromTheTable() {
      ConfigurationSimulation simulation = withVersionOne(13);
      List.of(ALL).forEach(simulation::restart);
      simulation.run(3_000);
      assertTrue(simulation.allCurrentAt(1));
    }
  }

  @Nested
  final class Operators {
    @ParameterizedTest
    @ValueSource(strings = {"n0", "n5"})
    void publishingConcurrentlyGetOneAcceptanceAndOneConflictThatShowsTheWinner(String other) {
      ConfigurationSimulation simulation = withVersionOne(21);
      simulation.publish("n0", 2, "first", 1);
      simulation.publish(other, 3, "second", 1);
      simulation.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), simulation.outcomes.get(2L));
      PublishOutcome.LostRace lost =
          assertInstanceOf(PublishOutcome.LostRace.class, simulation.outcomes.get(3L));
      assertEquals("first", lost.current().text());
      assertTrue(simulation.allCurrentAt(2));
    }

    @Test
    void publishingAnInvalidTextChangeNothing() {
      ConfigurationSimulation simulation = withVersionOne(22);
      simulation.publish("n0", 2, "wrong", 1);
      assertInstanceOf(PublishOutcome.Invalid.class, simulation.outcomes.get(2L));
      assertEquals(1, simulation.version("n0"));
    }

    @Test
    void rollForwardPublishesOldContentUnderANewVersion() {
      ConfigurationSimulation simulation = withVersionOne(23);
      simulation.publish("n0", 2, "two", 1);
      simulation.run(2_000);
      simulation.post("n3", new ConfigurationEvent.RollForwardRequested(3, 1, 2, "operator"));
      simulation.post("n3", new ConfigurationEvent.RollForwardRequested(4, 77, 2, "operator"));
      simulation.run(2_000);
      assertEquals(new PublishOutcome.Accepted(3), simulation.outcomes.get(3L));
      assertInstanceOf(PublishOutcome.Invalid.class, simulation.outcomes.get(4L));
      assertTrue(simulation.allCurrentAt(3));
    }

    @Test
    void losingTheAnswerOfTheTableGetTheOutcomeAndPublishOnce() {
      ConfigurationSimulation simulation = withVersionOne(24);
      simulation.loseAnswers(0.7);
      simulation.publish("n2", 2, "two", 1);
      simulation.run(9_000);
      assertEquals(new PublishOutcome.Accepted(2), simulation.outcomes.get(2L));
      assertTrue(simulation.allCurrentAt(2));
    }

    @Test
    void publishingDuringAnOutageLearnThatNothingWasPublished() {
      ConfigurationSimulation simulation = withVersionOne(25);
      simulation.withoutTable(ALL);
      simulation.publish("n2", 2, "two", 1);
      simulation.run(11_000);
      assertEquals(new PublishOutcome.Unavailable(false), simulation.outcomes.get(2L));
    }
  }

  @Test
  void aSlowNodeServesTheNewVersionOrNothing() {
    ConfigurationSimulation simulation = withVersionOne(31);
    simulation.slow("n6", 3_500);
    simulation.publish("n0", 2, "two", 1);
    simulation.run(30_000);
    assertEquals(List.of(), simulation.violations);
    assertEquals(2, simulation.version("n6"));
  }

  /** A frame between nodes has at most 1 MiB; a declaration of the target size is longer. */
  @Test
  void aTextTooLongForAFrameIsReadFromTheTable() {
    ConfigurationSimulation simulation = withVersionOne(33);
    simulation.publish("n0", 2, "x".repeat(1_100_000), 1);
    simulation.run(3_000);
    assertEquals(new PublishOutcome.Accepted(2), simulation.outcomes.get(2L));
    assertTrue(simulation.allCurrentAt(2));
    assertTrue(simulation.longestOffer < 1_000, "offer of " + simulation.longestOffer);
  }

  @Test
  void anOfferOfALowerVersionIsIgnored() {
    ConfigurationSimulation simulation = withVersionOne(32);
    simulation.publish("n0", 2, "two", 1);
    simulation.run(2_000);
    simulation.post(
        "n5",
        new ConfigurationEvent.OfferReceived(
            new PeerMessage.ConfigurationOffer(NodeId.of("n0"), 1, "one")));
    assertEquals(2, simulation.version("n5"));
  }

  @Test
  void anAnswerToAnOldReadDoesNotMakeANodeCurrent() {
    ConfigurationState state =
        ConfigurationState.create(NodeId.of("n0"), 1, ConfigurationSimulation::read);
    state.handle(new ConfigurationEvent.MembersChanged(Set.of(NodeId.of("n0"))), 0);
    PublishedDeclaration one = new PublishedDeclaration(1, "one", 0, "");
    state.handle(
        new ConfigurationEvent.MembersChanged(Set.of(NodeId.of("n0"), NodeId.of("n1"))), 0);
    state.handle(new ConfigurationEvent.HistoryRead(1, one), 0);
    state.handle(new ConfigurationEvent.CurrentRead(one.toCurrentVersion(), 10_000), 15_000);
    assertFalse(state.isCurrent(15_000), "asked 5 s ago");
    state.handle(new ConfigurationEvent.CurrentRead(one.toCurrentVersion(), 14_000), 15_000);
    assertTrue(state.isCurrent(15_000));
    assertFalse(state.isCurrent(18_001));
  }
}
