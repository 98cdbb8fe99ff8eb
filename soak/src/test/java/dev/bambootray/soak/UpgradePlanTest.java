package dev.bambootray.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class UpgradePlanTest {
  private static final int NODES = 4;
  private static final long LENGTH_MS = 15_000;

  @Test
  void sameSeedGivesTheSamePlan() {
    assertEquals(UpgradePlan.draw(7, NODES, LENGTH_MS), UpgradePlan.draw(7, NODES, LENGTH_MS));
  }

  @Test
  void everyNodeIsReplacedOrEveryReplacedOneIsTakenBack() {
    for (long seed = 1; seed <= 50; seed++) {
      Set<Integer> current = new HashSet<>();
      Set<Integer> touched = new HashSet<>();
      for (Fault fault : UpgradePlan.draw(seed, NODES, LENGTH_MS)) {
        if (fault.kind() == FaultKind.NODE_UPGRADE) {
          assertTrue(current.add(fault.target()), fault::toString);
          touched.add(fault.target());
        } else if (fault.kind() == FaultKind.NODE_DOWNGRADE) {
          assertTrue(current.remove(fault.target()), fault::toString);
        }
      }
      boolean takenBack = UpgradePlan.isTakenBack(seed);
      assertEquals(takenBack ? 0 : NODES, current.size(), "seed " + seed);
      assertEquals(takenBack ? NODES / 2 : NODES, touched.size(), "seed " + seed);
    }
  }

  @Test
  void replacementsAreDisturbedUnlessAllWorkIsPlanned() {
    for (long seed = 1; seed <= 50; seed++) {
      List<Fault> plan = UpgradePlan.draw(seed, NODES, LENGTH_MS);
      Set<FaultKind> kinds = plan.stream().map(Fault::kind).collect(Collectors.toSet());
      boolean disturbed =
          kinds.containsAll(
              EnumSet.of(
                  FaultKind.NODE_KILL, FaultKind.STORE_LINK_CUT_THERE, FaultKind.STORE_REFUSES));
      assertEquals(!FaultPlan.isPlannedOnly(seed), disturbed, "seed " + seed);
      plan.forEach(
          fault -> assertTrue(fault.atMs() >= 0 && fault.atMs() < LENGTH_MS, fault::toString));
    }
  }
}
