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
  private static MembershipSimulation settled(int nodes, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed).withNodes(nodes).run(25_000);
    assertTrue(simulation.converged(), "nodes find each other by the table within 25 s");
    simulation.takeChanges();
    return simulation;
  }

  @Nested
  final class Failure {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void isKnownOnEveryNodeWithinThreeSeconds(long seed) {
      MembershipSimulation simulation = settled(9, seed);
      simulation.run(37 * seed);
      simulation.stop("n4");
      simulation.run(3_000);
      assertTrue(
          simulation.allSee("n4", MemberStatus.DEAD), () -> simulation.takeChanges().toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {18, 26, 40})
    void isKnownWithinThreeSecondsInLargerClusters(int nodes) {
      MembershipSimulation simulation = settled(nodes, nodes);
      simulation.stop("n7");
      simulation.run(3_000);
      assertTrue(
          simulation.allSee("n7", MemberStatus.DEAD), () -> simulation.takeChanges().toString());
    }

    @Test
    void ofAWholeFailureDomainIsKnownWithinThreeSeconds() {
      MembershipSimulation simulation = settled(27, 11);
      List.of("n4", "n13", "n22").forEach(simulation::stop);
      simulation.run(3_000);
      for (String lost : List.of("n4", "n13", "n22")) {
        assertTrue(simulation.allSee(lost, MemberStatus.DEAD), lost);
      }
    }

    @Test
    void isFoundWhileAFifthOfTheMessagesIsLost() {
      MembershipSimulation simulation = settled(9, 12);
      simulation.drop(0.2);
      simulation.stop("n2");
      simulation.run(4_500);
      assertTrue(simulation.allSee("n2", MemberStatus.DEAD));
      simulation.run(60_000);
      List<String> falseDeaths =
          simulation.takeChanges().stream()
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
      MembershipSimulation simulation = settled(9, seed);
      for (int i = 0; i < 9; i++) {
        simulation.run(500 + 61 * seed);
        simulation.pause("n" + i, 1_000);
        simulation.run(3_000);
      }
      assertEquals(List.of(), simulation.takeChanges());
    }

    @Test
    void ofTenSecondsEndsWithTheNodeAliveAndNoOtherNodeDeclaredDead() {
      MembershipSimulation simulation = settled(9, 21);
      simulation.pause("n3", 10_000);
      simulation.run(4_000);
      assertTrue(simulation.allSee("n3", MemberStatus.DEAD));
      simulation.run(9_000);
      assertTrue(simulation.converged());
      assertTrue(
          simulation.takeChanges().stream()
              .filter(line -> line.endsWith("DEAD"))
              .allMatch(line -> line.contains("sees n3 ")),
          "a node that was paused declares no other node dead");
    }
  }

  @Nested
  final class SilentConnection {
    @Test
    void isReplacedByANewOneAndNoNodeIsDeclaredDead() {
      MembershipSimulation simulation = settled(9, 31);
      for (int i = 0; i < 9; i++) {
        for (int j = 0; j < 9; j++) {
          if ((i + j) % 3 == 0) {
            simulation.breakConnection("n" + i, "n" + j);
          }
        }
      }
      simulation.run(6_000);
      assertTrue(simulation.converged());
      assertTrue(simulation.takeChanges().stream().noneMatch(line -> line.endsWith("DEAD")));
    }
  }

  @Nested
  final class Partition {
    @Test
    void ofRegionsForAnHourHealsAndKeepsTheMemberCount() {
      MembershipSimulation simulation = settled(9, 41);
      simulation.cut((from, to) -> !simulation.regionOf(from).equals(simulation.regionOf(to)));
      simulation.tableUnavailable(true);
      simulation.run(10_000);
      assertTrue(
          simulation.membership("n0").members().stream()
              .anyMatch(member -> member.status() == MemberStatus.DEAD));
      simulation.run(3_590_000);
      assertEquals(
          9,
          simulation.membership("n0").members().size(),
          "dead members still count towards the majority");
      simulation.cut((from, to) -> false);
      simulation.tableUnavailable(false);
      simulation.run(10_000);
      assertTrue(simulation.converged(), () -> simulation.membership("n0").members().toString());
    }
  }

  @Nested
  final class Replacement {
    @Test
    void ofEveryNodeInTurnLeavesOnlyTheNewOnes() {
      MembershipSimulation simulation = settled(9, 51);
      for (int i = 0; i < 9; i++) {
        simulation.post("n" + i, new MembershipEvent.LeaveRequested());
        simulation.run(500);
        assertTrue(simulation.allSee("n" + i, MemberStatus.LEAVING));
        simulation.run(500);
        simulation.post("n" + i, new MembershipEvent.LeaveCompleted());
        simulation.stop("n" + i);
        simulation.start("m" + i, 9 + i);
        simulation.run(8_000);
      }
      simulation.run(40_000);
      assertTrue(simulation.converged(), () -> simulation.membership("m0").members().toString());
      assertEquals(
          9, simulation.membership("m0").members().size(), "old nodes are no longer members");
    }

    @Test
    void underTheSameAddressMarksTheOldNodeDeadAtOnce() {
      MembershipSimulation simulation = settled(9, 52);
      simulation.stop("n5");
      simulation.start("x5", 5);
      simulation.run(1_400);
      for (String observer : List.of("n0", "n1", "n2", "n3", "n4", "n6", "n7", "n8")) {
        assertEquals(
            MemberStatus.DEAD,
            simulation.seenBy(observer, "n5"),
            "detected before a probe times out");
      }
    }

    @Test
    void byAProcessOfTheSameNameIsTheSameMember() {
      MembershipSimulation simulation = settled(9, 53);
      simulation.stop("n5");
      simulation.run(5_000);
      simulation.start("n5", 5);
      simulation.run(3_000);
      assertTrue(simulation.converged());
      assertEquals(9, simulation.membership("n0").members().size());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void anyMixOfFailuresEndsWithAllNodesInAgreement(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 700);
    MembershipSimulation simulation = settled(9, seed);
    for (int round = 0; round < 40; round++) {
      String name = "n" + random.nextInt(9);
      int split = random.nextInt(9);
      switch (random.nextInt(6)) {
        case 0 -> simulation.pause(name, random.nextInt(9_000));
        case 1 -> simulation.breakConnection(name, "n" + random.nextInt(9));
        case 2 -> simulation.drop(0.3 * random.nextDouble());
        case 3 -> simulation.cut((from, to) -> isBelow(from, split) != isBelow(to, split));
        case 4 -> simulation.start(name, Integer.parseInt(name.substring(1)));
        default -> simulation.tableUnavailable(random.nextBoolean());
      }
      simulation.run(random.nextInt(6_000));
    }
    simulation.drop(0);
    simulation.cut((from, to) -> false);
    simulation.tableUnavailable(false);
    simulation.run(60_000);
    assertTrue(simulation.converged(), () -> simulation.membership("n0").members().toString());
  }

  private static boolean isBelow(NodeId node, int number) {
    return Integer.parseInt(node.value().substring(1)) < number;
  }

  @Test
  void trafficPerNodeDoesNotGrowWithTheNumberOfNodes() {
    Map<Integer, Long> perNode = new TreeMap<>();
    for (int nodes : new int[] {9, 18, 36}) {
      MembershipSimulation simulation = settled(nodes, nodes);
      long before = simulation.delivered();
      simulation.run(60_000);
      perNode.put(nodes, (simulation.delivered() - before) / nodes);
    }
    assertTrue(perNode.get(36) <= perNode.get(9) * 1.05, perNode::toString);
  }

  /** Without the table a node stays current only by asking a majority within 4 s. */
  @ParameterizedTest
  @ValueSource(ints = {9, 26, 40})
  void aMajorityIsAskedForItsVersionWithinTwoSecondsWhileTheTableIsUnavailable(int nodes) {
    MembershipSimulation simulation = settled(nodes, 91);
    simulation.exchanged.clear();
    for (NodeId node : List.copyOf(simulation.running())) {
      simulation.post(node.value(), new MembershipEvent.ExchangesWanted(true));
    }
    simulation.run(2_000);
    for (NodeId node : simulation.running()) {
      int asked = simulation.exchanged.getOrDefault(node, Set.of()).size();
      assertTrue(asked + 1 >= nodes / 2 + 1, node + " asked " + asked);
    }
  }

  @Test
  void gossipIsBoundedInSize() {
    MembershipSimulation simulation = settled(40, 61);
    List<MembershipEffect> effects =
        simulation.membership("n0").handle(new MembershipEvent.LeaveRequested(), simulation.nowMs);
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
    MembershipSimulation simulation = settled(9, 71);
    for (int i = 0; i < 100; i++) {
      simulation.post("n0", new MembershipEvent.VmListRead(List.of()));
      simulation.run(1_000);
    }
    assertEquals(List.of(), simulation.takeChanges());
  }

  @Test
  void aWrongSuspicionIsRefutedByAHigherIncarnation() {
    MembershipSimulation simulation = settled(9, 81);
    MemberState own = simulation.membership("n6").self();
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
    MemberState sender = simulation.membership("n1").self();
    simulation.post(
        "n2",
        new MembershipEvent.ProbeReceived(
            new PeerMessage.Probe(
                NodeId.of("n1"), 1, sender, new Gossip(List.of(suspected), 0, List.of()))));
    simulation.run(900);
    assertTrue(simulation.allSee("n6", MemberStatus.ALIVE));
    assertTrue(simulation.membership("n6").self().incarnation() > own.incarnation());
  }
}
