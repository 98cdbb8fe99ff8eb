package dev.bambootray.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates failures among several nodes and checks which members each node considers alive. */
final class MembershipTest {
  private static MembershipLoop settled(int nodes, long seed) {
    MembershipLoop loop = new MembershipLoop(seed).withNodes(nodes).run(25_000);
    assertTrue(loop.converged(), "nodes find each other by the table within 25 s");
    loop.takeChanges();
    return loop;
  }

  @Nested
  final class Failure {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void isKnownOnEveryNodeWithinThreeSeconds(long seed) {
      MembershipLoop loop = settled(9, seed);
      loop.run(37 * seed);
      loop.stop("n4");
      loop.run(3_000);
      assertTrue(loop.allSee("n4", MemberStatus.DEAD), () -> loop.takeChanges().toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {18, 26, 40})
    void isKnownWithinThreeSecondsInLargerClusters(int nodes) {
      MembershipLoop loop = settled(nodes, nodes);
      loop.stop("n7");
      loop.run(3_000);
      assertTrue(loop.allSee("n7", MemberStatus.DEAD), () -> loop.takeChanges().toString());
    }

    @Test
    void ofAWholeFailureDomainIsKnownWithinThreeSeconds() {
      MembershipLoop loop = settled(27, 11);
      List.of("n4", "n13", "n22").forEach(loop::stop);
      loop.run(3_000);
      for (String lost : List.of("n4", "n13", "n22")) {
        assertTrue(loop.allSee(lost, MemberStatus.DEAD), lost);
      }
    }

    @Test
    void isFoundWhileAFifthOfTheMessagesIsLost() {
      MembershipLoop loop = settled(9, 12);
      loop.drop(0.2);
      loop.stop("n2");
      loop.run(4_500);
      assertTrue(loop.allSee("n2", MemberStatus.DEAD));
      loop.run(60_000);
      List<String> falseDeaths =
          loop.takeChanges().stream()
              .filter(line -> line.endsWith("DEAD") && !line.contains("sees n2 "))
              .toList();
      assertEquals(List.of(), falseDeaths);
    }
  }

  @Nested
  final class Pause {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void ofOneSecondCausesNoSuspicion(long seed) {
      MembershipLoop loop = settled(9, seed);
      for (int i = 0; i < 9; i++) {
        loop.run(500 + 61 * seed);
        loop.pause("n" + i, 1_000);
        loop.run(3_000);
      }
      assertEquals(List.of(), loop.takeChanges());
    }

    @Test
    void ofTenSecondsEndsWithTheNodeAliveAndNoOtherNodeDeclaredDead() {
      MembershipLoop loop = settled(9, 21);
      loop.pause("n3", 10_000);
      loop.run(4_000);
      assertTrue(loop.allSee("n3", MemberStatus.DEAD));
      loop.run(9_000);
      assertTrue(loop.converged());
      assertTrue(
          loop.takeChanges().stream()
              .filter(line -> line.endsWith("DEAD"))
              .allMatch(line -> line.contains("sees n3 ")),
          "a node that was paused declares no other node dead");
    }
  }

  @Nested
  final class SilentConnection {
    @Test
    void isReplacedByANewOneAndNoNodeIsDeclaredDead() {
      MembershipLoop loop = settled(9, 31);
      for (int i = 0; i < 9; i++) {
        for (int j = 0; j < 9; j++) {
          if ((i + j) % 3 == 0) {
            loop.silence("n" + i, "n" + j);
          }
        }
      }
      loop.run(6_000);
      assertTrue(loop.converged());
      assertTrue(loop.takeChanges().stream().noneMatch(line -> line.endsWith("DEAD")));
    }
  }

  @Nested
  final class Partition {
    @Test
    void ofRegionsForAnHourHealsAndKeepsTheMemberCount() {
      MembershipLoop loop = settled(9, 41);
      loop.cut((from, to) -> !loop.regionOf(from).equals(loop.regionOf(to)));
      loop.tableAway(true);
      loop.run(10_000);
      assertTrue(
          loop.membership("n0").members().stream()
              .anyMatch(member -> member.status() == MemberStatus.DEAD));
      loop.run(3_590_000);
      assertEquals(
          9,
          loop.membership("n0").members().size(),
          "dead members still count towards the majority");
      loop.cut((from, to) -> false);
      loop.tableAway(false);
      loop.run(10_000);
      assertTrue(loop.converged(), () -> loop.membership("n0").members().toString());
    }
  }

  @Nested
  final class Replacement {
    @Test
    void ofEveryNodeInTurnLeavesOnlyTheNewOnes() {
      MembershipLoop loop = settled(9, 51);
      for (int i = 0; i < 9; i++) {
        loop.post("n" + i, new MembershipEvent.LeaveRequested());
        loop.run(500);
        assertTrue(loop.allSee("n" + i, MemberStatus.LEAVING));
        loop.run(500);
        loop.post("n" + i, new MembershipEvent.LeaveCompleted());
        loop.stop("n" + i);
        loop.start("m" + i, 9 + i);
        loop.run(8_000);
      }
      loop.run(40_000);
      assertTrue(loop.converged(), () -> loop.membership("m0").members().toString());
      assertEquals(9, loop.membership("m0").members().size(), "old nodes are no longer members");
    }

    @Test
    void underTheSameAddressMarksTheOldNodeDeadAtOnce() {
      MembershipLoop loop = settled(9, 52);
      loop.stop("n5");
      loop.start("x5", 5);
      loop.run(1_400);
      for (String observer : List.of("n0", "n1", "n2", "n3", "n4", "n6", "n7", "n8")) {
        assertEquals(
            MemberStatus.DEAD, loop.seenBy(observer, "n5"), "detected before a probe times out");
      }
    }

    @Test
    void byAProcessOfTheSameNameIsTheSameMember() {
      MembershipLoop loop = settled(9, 53);
      loop.stop("n5");
      loop.run(5_000);
      loop.start("n5", 5);
      loop.run(3_000);
      assertTrue(loop.converged());
      assertEquals(9, loop.membership("n0").members().size());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void anyMixOfFailuresEndsWithAllNodesInAgreement(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 700);
    MembershipLoop loop = settled(9, seed);
    for (int round = 0; round < 40; round++) {
      String name = "n" + random.nextInt(9);
      int split = random.nextInt(9);
      switch (random.nextInt(6)) {
        case 0 -> loop.pause(name, random.nextInt(9_000));
        case 1 -> loop.silence(name, "n" + random.nextInt(9));
        case 2 -> loop.drop(0.3 * random.nextDouble());
        case 3 -> loop.cut((from, to) -> isBelow(from, split) != isBelow(to, split));
        case 4 -> loop.start(name, Integer.parseInt(name.substring(1)));
        default -> loop.tableAway(random.nextBoolean());
      }
      loop.run(random.nextInt(6_000));
    }
    loop.drop(0);
    loop.cut((from, to) -> false);
    loop.tableAway(false);
    loop.run(60_000);
    assertTrue(loop.converged(), () -> loop.membership("n0").members().toString());
  }

  private static boolean isBelow(NodeId node, int number) {
    return Integer.parseInt(node.value().substring(1)) < number;
  }

  @Test
  void trafficPerNodeDoesNotGrowWithTheNumberOfNodes() {
    Map<Integer, Long> perNode = new TreeMap<>();
    for (int nodes : new int[] {9, 18, 36}) {
      MembershipLoop loop = settled(nodes, nodes);
      long before = loop.delivered();
      loop.run(60_000);
      perNode.put(nodes, (loop.delivered() - before) / nodes);
    }
    assertTrue(perNode.get(36) <= perNode.get(9) * 1.05, perNode::toString);
  }

  /** Without the table a node stays current only by asking a majority within 4 s. */
  @ParameterizedTest
  @ValueSource(ints = {9, 26, 40})
  void aMajorityIsAskedForItsVersionWithinTwoSecondsWhileTheTableIsUnavailable(int nodes) {
    MembershipLoop loop = settled(nodes, 91);
    loop.exchanged.clear();
    for (NodeId node : List.copyOf(loop.running())) {
      loop.post(node.value(), new MembershipEvent.ExchangesWanted(true));
    }
    loop.run(2_000);
    for (NodeId node : loop.running()) {
      int asked = loop.exchanged.getOrDefault(node, Set.of()).size();
      assertTrue(asked + 1 >= nodes / 2 + 1, node + " asked " + asked);
    }
  }

  @Test
  void gossipIsBoundedInSize() {
    MembershipLoop loop = settled(40, 61);
    List<MembershipEffect> effects =
        loop.membership("n0").handle(new MembershipEvent.LeaveRequested(), loop.nowMs);
    assertFalse(effects.isEmpty());
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendProbe send) {
        assertTrue(send.probe().gossip().members().size() <= GossipBuffer.MAX_MEMBERS);
        assertTrue(send.probe().gossip().loads().size() <= GossipBuffer.MAX_LOADS);
      }
    }
  }

  @Test
  void vmListAloneNeverRemovesANodeThatAnswers() {
    MembershipLoop loop = settled(9, 71);
    for (int i = 0; i < 100; i++) {
      loop.post("n0", new MembershipEvent.VmListRead(List.of()));
      loop.run(1_000);
    }
    assertEquals(List.of(), loop.takeChanges());
  }

  @Test
  void aWrongSuspicionIsRefutedByAHigherIncarnation() {
    MembershipLoop loop = settled(9, 81);
    MemberState own = loop.membership("n6").self();
    MemberState suspected =
        new MemberState(
            own.node(),
            own.region(),
            own.failureDomain(),
            own.host(),
            own.peerPort(),
            own.httpPort(),
            own.incarnation(),
            MemberStatus.SUSPECT);
    MemberState sender = loop.membership("n1").self();
    loop.post(
        "n2",
        new MembershipEvent.ProbeReceived(
            new PeerMessage.Probe(
                NodeId.of("n1"), 1, sender, new Gossip(List.of(suspected), 0, List.of()))));
    loop.run(900);
    assertTrue(loop.allSee("n6", MemberStatus.ALIVE));
    assertTrue(loop.membership("n6").self().incarnation() > own.incarnation());
  }
}
