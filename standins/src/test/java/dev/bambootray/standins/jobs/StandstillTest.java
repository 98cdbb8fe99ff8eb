package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against jobs that stand still although most of the pool is idle. */
final class StandstillTest {
  /** From this time after the last job on, none may run nothing beside idle capacity. */
  private static final long AFTER_LOAD_MS = IdleCapacityCheck.AFTER_LOAD_MS;

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
      rig.run(AFTER_LOAD_MS);
      assertEquals(1, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
      rig.run(LONG_MS);
      rig.assertAllFinal();
    }

    @Test
    void theLogTellsWhyAJobStandsStill() {
      occupyAndReserve();
      rig.run(AFTER_LOAD_MS);
      String line = "wide stands still step=wide/0.0 ready=6 ";
      String why = " reservation=AWAIT_ENDS:6 workers={open=8}";
      assertEquals(
          1,
          rig.pool.decisions().stream()
              .filter(one -> one.contains(line) && one.endsWith(why))
              .count(),
          () -> rig.decisionsAbout("wide"));
    }

    @Test
    void aGangStartsAsAWhole() {
      occupyAndReserve();
      rig.submit("small", 1, 1_000, SchedulerRig.gang(2, 8));
      rig.run(AFTER_LOAD_MS);
      assertEquals(2, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
    }

    @Test
    void nothingStartsWhileFurtherJobsMayArrive() {
      occupyAndReserve();
      rig.submit("small", 1, 1_000, SchedulerRig.tasks(1, 1));
      rig.run(AFTER_LOAD_MS / 2);
      assertEquals(0, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
    }

    @Test
    void nothingStartsWhileHalfOfThePoolIsInUse() {
      rig.submit("half", 1, LONG_MS, SchedulerRig.tasks(1, 8));
      occupyAndReserve();
      rig.submit("small", 1, 1_000, SchedulerRig.tasks(1, 1));
      rig.run(AFTER_LOAD_MS);
      assertEquals(0, rig.startsOf("small"), () -> rig.decisionsAbout("small"));
    }
  }

  /** A step waits for the rack on which it is faster, although others are idle. */
  @Nested
  final class OnOtherRacks {
    private final SchedulerRig rig = SchedulerRig.owned(15, 5, 0);

    private static StepSpec.Builder slow(int tasks) {
      return StepSpec.builder(tasks, new Resources(8, 2_000, 1_000)).estimateMs(11_000);
    }

    private void occupy(int workers, String rack) {
      rig.submit("on " + rack, 1, LONG_MS, slow(workers).dataRack(rack).build());
      rig.run(500);
    }

    @Test
    void aGangForOneRackStartsOnceNoFurtherJobsArrive() {
      occupy(2, "rack0");
      occupy(2, "rack1");
      occupy(2, "rack2");
      rig.submit("near", 1, 5_000, slow(4).gang(true).sameRack(true).build());
      rig.run(AFTER_LOAD_MS);
      assertEquals(4, rig.startsOf("near"), () -> rig.decisionsAbout("near"));
    }

    @Test
    void aTaskNearItsDataStartsElsewhereOnceNoFurtherJobsArrive() {
      occupy(5, "rack1");
      rig.submit("near", 1, 5_000, slow(1).dataRack("rack1").build());
      rig.run(AFTER_LOAD_MS);
      assertEquals(1, rig.startsOf("near"), () -> rig.decisionsAbout("near"));
    }

    @Test
    void aTaskNearItsDataWaitsWhileFurtherJobsArrive() {
      occupy(5, "rack1");
      rig.submit("near", 1, 5_000, slow(1).dataRack("rack1").build());
      for (int job = 0; job < 2; job++) {
        rig.run(2_000);
        rig.submit("later" + job, 1, 5_000, SchedulerRig.tasks(1, 1));
      }
      assertEquals(0, rig.startsOf("near"), () -> rig.decisionsAbout("near"));
    }
  }
}
