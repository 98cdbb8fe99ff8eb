package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against jobs that stand still although most of the pool is idle. */
final class StandstillTest {
  /** The platform allows a job to run nothing beside idle capacity for this long. */
  private static final long LIMIT_MS = 3_000;

  private static final long LONG_MS = 60_000;

  /** Idle workers are reserved for a gang that waits for one more to become free. */
  @Nested
  final class OnReservedCapacity {
    private final SchedulerRig rig = SchedulerRig.owned(8, 8, 0);

    private void occupyAndReserve() {
      rig.submit("long", 1, LONG_MS, SchedulerRig.tasks(3, 8));
      rig.run(500);
      rig.submit("wide", 1, 1_000, SchedulerRig.gang(6, 8));
      rig.run(500);
      assertTrue(rig.pool.decisions().stream().anyMatch(line -> line.contains("wide reserve ")));
    }

    @Test
    void oneTaskOfAJobStarts() {
      occupyAndReserve();
      rig.submit("small", 1, 10_000, SchedulerRig.tasks(4, 1));
      rig.run(LIMIT_MS);
      assertEquals(1, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
      rig.run(LONG_MS);
      rig.assertAllFinal();
    }

    @Test
    void aGangStartsAsAWhole() {
      occupyAndReserve();
      rig.submit("small", 1, 1_000, SchedulerRig.gang(2, 8));
      rig.run(LIMIT_MS);
      assertEquals(2, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
    }

    @Test
    void nothingStartsWhileHalfOfThePoolIsInUse() {
      rig.submit("half", 1, LONG_MS, SchedulerRig.tasks(1, 8));
      occupyAndReserve();
      rig.submit("small", 1, 1_000, SchedulerRig.tasks(1, 1));
      rig.run(LIMIT_MS);
      assertEquals(0, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
    }
  }
}
