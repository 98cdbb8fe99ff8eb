package dev.bambootray.standins.jobs;

import static dev.bambootray.standins.jobs.SchedulerRig.gang;
import static dev.bambootray.standins.jobs.SchedulerRig.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.StepSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that jobs within the guarantee of their workspace start in time on a full pool. */
final class GuaranteeInTimeTest {
  /** Time that the strictest deployment allows to meet a guarantee. */
  private static final long RECLAIM_MS = 2_900;

  /** Returns a full pool in which no rack has two workers that can be reclaimed. */
  private static SchedulerRig withAGuaranteedGangOnEachOfTwoRacks() {
    SchedulerRig rig = SchedulerRig.owned(8, 4, 64);
    rig.submit("first", 0, 60_000, gang(3, 8));
    rig.run(500);
    rig.submit("second", 0, 60_000, gang(3, 8));
    rig.run(500);
    rig.submit("borrowed", 2, 60_000, tasks(16, 1));
    rig.run(1_000);
    return rig;
  }

  private static void assertStartsInTime(SchedulerRig rig, String job) {
    rig.run(RECLAIM_MS);
    assertTrue(rig.hasStarted(job), () -> rig.decisionsAbout(job));
  }

  @Nested
  final class ReservationsThatAwaitEnds {
    /** The gang reserved workers in its first round, which hid that it had no place. */
    @Test
    void doNotKeepACoveredGangFromReclaiming() {
      SchedulerRig rig = withAGuaranteedGangOnEachOfTwoRacks();
      rig.submit("third", 0, 1_000, gang(2, 8));
      assertStartsInTime(rig, "third");
    }

    /** The gang reserved workers while an older job used up the guarantee. */
    @Test
    void doNotKeepAGangFromReclaimingThatIsCoveredLater() {
      SchedulerRig rig = SchedulerRig.owned(4, 4, 16);
      rig.submit("older", 0, 6_000, fourOnEachOfFourWorkers());
      rig.submit("borrowed", 2, 60_000, fourOnEachOfFourWorkers());
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(2, 8));
      rig.run(5_300);
      assertTrue(rig.phase("older").isFinal());
      assertStartsInTime(rig, "urgent");
    }

    private static StepSpec fourOnEachOfFourWorkers() {
      return StepSpec.builder(16, new Resources(1, 1_000, 1_000))
          .estimateMs(1_000)
          .maxPerWorker(4)
          .build();
    }
  }

  @Nested
  final class ReclaimPlans {
    /** Each worker offered only its free accelerators, which are too few for the gang. */
    @Test
    void stopRunsBesideFreeAccelerators() {
      SchedulerRig rig = SchedulerRig.owned(4, 4, 32);
      rig.submit("borrowed", 2, 60_000, tasks(16, 1));
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(8, 4));
      assertStartsInTime(rig, "urgent");
    }

    /** Each worker offered one place, so that a gang wider than the rack found no plan. */
    @Test
    void useSeveralPlacesOfEachWorker() {
      SchedulerRig rig = SchedulerRig.owned(4, 4, 32);
      rig.submit("borrowed", 2, 60_000, tasks(32, 1));
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(16, 2));
      assertStartsInTime(rig, "urgent");
    }
  }

  @Nested
  final class TasksThatMustBeApart {
    /** Places were reclaimed on a worker that already ran as many tasks of the step as allowed. */
    @Test
    void startOnDifferentWorkers() {
      SchedulerRig rig = SchedulerRig.owned(3, 3, 16);
      rig.submit("borrowed", 2, 60_000, tasks(16, 1));
      rig.run(1_000);
      StepSpec apart =
          StepSpec.builder(3, new Resources(2, 1_000, 1_000))
              .estimateMs(1_000)
              .maxPerWorker(1)
              .build();
      rig.submit("urgent", 0, 60_000, apart);
      rig.run(RECLAIM_MS);
      assertEquals(3, rig.startsOf("urgent"), () -> rig.decisionsAbout("urgent"));
    }
  }

  @Nested
  final class Coverage {
    /** The larger job, which exceeds the guarantee, took it from all later jobs. */
    @Test
    void isNotUsedUpByAJobThatExceedsIt() {
      SchedulerRig rig = SchedulerRig.owned(4, 4, 8);
      rig.submit("large", 0, 60_000, gang(3, 8));
      rig.run(500);
      rig.submit("borrowed", 2, 60_000, tasks(8, 1));
      rig.run(1_000);
      rig.submit("small", 0, 60_000, gang(2, 4));
      assertStartsInTime(rig, "small");
      assertTrue(rig.phase("large") == JobPhase.RUNNING);
    }
  }

  @Nested
  final class WaitsForARack {
    /** The gang waited for a rack from the time at which the owner heard of it. */
    @Test
    void beginWithTheAcceptanceOfTheJob() {
      SchedulerRig rig = withAGuaranteedGangOnEachOfTwoRacks();
      long heardAfterMs = 1_200;
      rig.submitWithDelayedEvent("third", 0, 1_000, heardAfterMs, gang(2, 8));
      rig.run(RECLAIM_MS - heardAfterMs);
      assertTrue(rig.hasStarted("third"), () -> rig.decisionsAbout("third"));
    }
  }
}
