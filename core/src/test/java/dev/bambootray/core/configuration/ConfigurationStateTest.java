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

  private static ConfigurationLoop withVersionOne(long seed) {
    ConfigurationLoop loop = new ConfigurationLoop(seed, 9).run(3_000);
    loop.publish("n0", 1, "one", 0);
    loop.run(2_000);
    assertEquals(new PublishOutcome.Accepted(1), loop.outcomes.get(1L));
    assertTrue(loop.allCurrentAt(1), "in force on all nodes within 2 s");
    return loop;
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
      ConfigurationLoop loop = withVersionOne(1);
      loop.cut((from, to) -> isolates("n8", from, to));
      loop.withoutTable("n8");
      loop.publish("n0", 2, "two", 1);
      loop.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), loop.outcomes.get(2L));
      assertEquals(1, loop.version("n8"));
      loop.run(20_000);
      assertFalse(loop.isCurrent("n8"));
      assertEquals(List.of(), loop.violations);
      loop.cut((from, to) -> false);
      loop.withoutTable();
      loop.run(3_000);
      assertTrue(loop.allCurrentAt(2));
    }

    @Test
    void minorityWithoutTheTableRefusesNewWorkAndTheMajorityServes() {
      ConfigurationLoop loop = withVersionOne(2);
      loop.withoutTable(ALL);
      loop.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      loop.run(6_000);
      assertTrue(loop.isCurrent("n0"), "five of nine");
      assertFalse(loop.isCurrent("n7"), "four of nine");
    }

    @Test
    void publisherWithoutAMajorityReportsTheMissingMembers() {
      ConfigurationLoop loop = withVersionOne(3);
      loop.cut((from, to) -> isBefore("n3", from) != isBefore("n3", to));
      loop.withoutTable("n3", "n4", "n5", "n6", "n7", "n8");
      loop.publish("n0", 2, "two", 1);
      loop.run(7_000);
      PublishOutcome.Committed committed =
          assertInstanceOf(PublishOutcome.Committed.class, loop.outcomes.get(2L));
      assertEquals(6, committed.missing().size());
      assertTrue(loop.isCurrent("n0"), "it reads the table");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void anyMixOfCutsPausesAndRestartsKeepsTheLimitOfFiveSeconds(long seed) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 500);
      ConfigurationLoop loop = withVersionOne(seed);
      loop.loseAnswers(0.2);
      for (int round = 2; round < 40; round++) {
        String name = ALL[random.nextInt(9)];
        int split = random.nextInt(9);
        switch (random.nextInt(6)) {
          case 0 -> loop.pause(name, random.nextInt(8_000));
          case 1 -> loop.cut((from, to) -> isolates(name, from, to));
          case 2 ->
              loop.cut((from, to) -> isBefore("n" + split, from) != isBefore("n" + split, to));
          case 3 -> loop.withoutTable(ALL[random.nextInt(9)], name);
          case 4 -> loop.restart(name);
          default -> {
            loop.cut((from, to) -> false);
            loop.withoutTable();
          }
        }
        String publisher = ALL[random.nextInt(9)];
        loop.publish(publisher, round, "text " + round, loop.version(publisher));
        loop.run(random.nextInt(6_000));
      }
      assertEquals(List.of(), loop.violations);
    }
  }

  @Nested
  final class Restart {
    @Test
    void duringAnOutageTakesTheVersionFromAMajorityOfPeers() {
      ConfigurationLoop loop = withVersionOne(11);
      loop.withoutTable(ALL);
      loop.run(10_000);
      assertTrue(loop.allCurrentAt(1), "nodes exchange versions while the table is unavailable");
      loop.restart("n4");
      loop.run(3_000);
      assertTrue(loop.allCurrentAt(1));
    }

    @Test
    void withOnlyAMinorityOfPeersIsNotReady() {
      ConfigurationLoop loop = withVersionOne(12);
      loop.withoutTable(ALL);
      loop.restart("n4");
      loop.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      loop.run(10_000);
      assertFalse(loop.isCurrent("n4"), "four peers of nine members");
    }

    /**
     * After its restart n4 no longer holds version 2, which it had confirmed, and must not count
     * towards a majority for version 1.
     */
    @Test
    void ofAConfirmingNodeGivesTheOldVersionNoMajority() {
      ConfigurationLoop loop = withVersionOne(14);
      loop.cut((from, to) -> isBefore("n4", from) != isBefore("n4", to));
      loop.withoutTable("n0", "n1", "n2", "n3");
      loop.publish("n8", 2, "two", 1);
      loop.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), loop.outcomes.get(2L));
      loop.withoutTable(ALL);
      loop.cut((from, to) -> isBefore("n5", from) != isBefore("n5", to));
      loop.restart("n4");
      loop.run(10_000);
      assertEquals(1, loop.version("n4"), "it holds the version of its peers");
      assertFalse(loop.isCurrent("n4"));
      assertFalse(loop.isCurrent("n0"));
      assertEquals(List.of(), loop.violations);
    }

    @Test
    void ofAllNodesTakesTheVersionFromTheTable() {
      ConfigurationLoop loop = withVersionOne(13);
      List.of(ALL).forEach(loop::restart);
      loop.run(3_000);
      assertTrue(loop.allCurrentAt(1));
    }
  }

  @Nested
  final class Operators {
    @ParameterizedTest
    @ValueSource(strings = {"n0", "n5"})
    void publishingConcurrentlyGetOneAcceptanceAndOneConflictThatShowsTheWinner(String other) {
      ConfigurationLoop loop = withVersionOne(21);
      loop.publish("n0", 2, "first", 1);
      loop.publish(other, 3, "second", 1);
      loop.run(3_000);
      assertEquals(new PublishOutcome.Accepted(2), loop.outcomes.get(2L));
      PublishOutcome.LostRace lost =
          assertInstanceOf(PublishOutcome.LostRace.class, loop.outcomes.get(3L));
      assertEquals("first", lost.current().text());
      assertTrue(loop.allCurrentAt(2));
    }

    @Test
    void publishingAnInvalidTextChangeNothing() {
      ConfigurationLoop loop = withVersionOne(22);
      loop.publish("n0", 2, "wrong", 1);
      assertInstanceOf(PublishOutcome.Invalid.class, loop.outcomes.get(2L));
      assertEquals(1, loop.version("n0"));
    }

    @Test
    void rollForwardPublishesOldContentUnderANewVersion() {
      ConfigurationLoop loop = withVersionOne(23);
      loop.publish("n0", 2, "two", 1);
      loop.run(2_000);
      loop.post("n3", new ConfigurationEvent.RollForwardRequested(3, 1, 2, "operator"));
      loop.post("n3", new ConfigurationEvent.RollForwardRequested(4, 77, 2, "operator"));
      loop.run(2_000);
      assertEquals(new PublishOutcome.Accepted(3), loop.outcomes.get(3L));
      assertInstanceOf(PublishOutcome.Invalid.class, loop.outcomes.get(4L));
      assertTrue(loop.allCurrentAt(3));
    }

    @Test
    void losingTheAnswerOfTheTableGetTheOutcomeAndPublishOnce() {
      ConfigurationLoop loop = withVersionOne(24);
      loop.loseAnswers(0.7);
      loop.publish("n2", 2, "two", 1);
      loop.run(9_000);
      assertEquals(new PublishOutcome.Accepted(2), loop.outcomes.get(2L));
      assertTrue(loop.allCurrentAt(2));
    }

    @Test
    void publishingDuringAnOutageLearnThatNothingWasPublished() {
      ConfigurationLoop loop = withVersionOne(25);
      loop.withoutTable(ALL);
      loop.publish("n2", 2, "two", 1);
      loop.run(11_000);
      assertEquals(new PublishOutcome.Unavailable(false), loop.outcomes.get(2L));
    }
  }

  @Test
  void aSlowNodeServesTheNewVersionOrNothing() {
    ConfigurationLoop loop = withVersionOne(31);
    loop.slow("n6", 3_500);
    loop.publish("n0", 2, "two", 1);
    loop.run(30_000);
    assertEquals(List.of(), loop.violations);
    assertEquals(2, loop.version("n6"));
  }

  /** A frame between nodes has at most 1 MiB; a declaration of the target size is longer. */
  @Test
  void aTextTooLongForAFrameIsReadFromTheTable() {
    ConfigurationLoop loop = withVersionOne(33);
    loop.publish("n0", 2, "x".repeat(1_100_000), 1);
    loop.run(3_000);
    assertEquals(new PublishOutcome.Accepted(2), loop.outcomes.get(2L));
    assertTrue(loop.allCurrentAt(2));
    assertTrue(loop.longestOffer < 1_000, "offer of " + loop.longestOffer);
  }

  @Test
  void anOfferOfALowerVersionIsIgnored() {
    ConfigurationLoop loop = withVersionOne(32);
    loop.publish("n0", 2, "two", 1);
    loop.run(2_000);
    loop.post(
        "n5",
        new ConfigurationEvent.OfferReceived(
            new PeerMessage.ConfigurationOffer(NodeId.of("n0"), 1, "one")));
    assertEquals(2, loop.version("n5"));
  }

  @Test
  void anAnswerToAnOldReadDoesNotMakeANodeCurrent() {
    ConfigurationState state =
        ConfigurationState.create(NodeId.of("n0"), 1, ConfigurationLoop::read);
    state.handle(new ConfigurationEvent.MembersChanged(Set.of(NodeId.of("n0"))), 0);
    PublishedDeclaration one = new PublishedDeclaration(1, "one", 0, "");
    state.handle(
        new ConfigurationEvent.MembersChanged(Set.of(NodeId.of("n0"), NodeId.of("n1"))), 0);
    state.handle(new ConfigurationEvent.HistoryRead(1, one), 0);
    state.handle(new ConfigurationEvent.CurrentRead(one.pointer(), 10_000), 15_000);
    assertFalse(state.isCurrent(15_000), "asked 5 s ago");
    state.handle(new ConfigurationEvent.CurrentRead(one.pointer(), 14_000), 15_000);
    assertTrue(state.isCurrent(15_000));
    assertFalse(state.isCurrent(18_001));
  }
}
