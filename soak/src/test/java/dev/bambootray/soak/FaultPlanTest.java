package dev.bambootray.soak;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

final class FaultPlanTest {
  private static final int NODES = 4;
  private static final int WORKERS = 12;

  @Test
  void sameSeedGivesTheSamePlan() {
    assertEquals(
        FaultPlan.draw(7, NODES, WORKERS, 15_000), FaultPlan.draw(7, NODES, WORKERS, 15_000));
  }

  @Test
  void seedsKeepTheFaultsThatTheyHadBeforeLaterKindsWereAdded() {
    Set<FaultKind> later = EnumSet.of(FaultKind.STORE_RESTARTS, FaultKind.STORE_CLOSES);
    CRC32 sum = new CRC32();
    for (long seed = 1; seed <= 50; seed++) {
      FaultPlan.draw(seed, NODES, WORKERS, 15_000).stream()
          .filter(fault -> !later.contains(fault.kind()))
          .forEach(fault -> sum.update((fault + "\n").getBytes(UTF_8)));
    }
    // Drawn with fb68176, which lacks these kinds.
    assertEquals(0x3d814951L, sum.getValue());
  }

  @Test
  void targetsExistAndFaultsBeginInTime() {
    for (long seed = 1; seed <= 50; seed++) {
      for (Fault fault : FaultPlan.draw(seed, NODES, WORKERS, 15_000)) {
        assertTrue(fault.atMs() >= 0 && fault.atMs() < 15_000, fault::toString);
        assertTrue(
            fault.target() < (fault.kind().scope() == FaultKind.Scope.WORKER ? WORKERS : NODES),
            fault::toString);
      }
    }
  }

  @Test
  void fiftySeedsHaveEveryKind() {
    Set<FaultKind> seen = EnumSet.noneOf(FaultKind.class);
    for (long seed = 1; seed <= 50; seed++) {
      FaultPlan.draw(seed, NODES, WORKERS, 15_000).forEach(fault -> seen.add(fault.kind()));
      UpgradePlan.draw(seed, NODES, 15_000).forEach(fault -> seen.add(fault.kind()));
    }
    assertEquals(EnumSet.allOf(FaultKind.class), seen);
  }

  @Test
  void plannedRunsHaveNoOtherTrouble() {
    assertTrue(FaultPlan.isPlannedOnly(5));
    List<Fault> plan = FaultPlan.draw(5, NODES, WORKERS, 60_000);
    assertFalse(plan.isEmpty());
    for (Fault fault : plan) {
      assertTrue(
          EnumSet.of(FaultKind.NODE_STOP, FaultKind.NODE_RELOAD, FaultKind.DECLARATION)
              .contains(fault.kind()),
          fault::toString);
    }
  }
}
