package dev.bambootray.standins.jobs;

import static dev.bambootray.standins.jobs.SchedulerRig.gang;
import static dev.bambootray.standins.jobs.SchedulerRig.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class JobSchedulerTest {
  private static Resources accelerators(int count) {
    return new Resources(count, 2_000, 1_000);
  }

  private static SchedulerRig rig(int workers) {
    return rig(workers, 8, 0);
  }

  private static SchedulerRig rig(int workers, int perRack, int guaranteed) {
    return SchedulerRig.owned(workers, perRack, guaranteed);
  }

  @Nested
  final class NormalOperation {
    @Test
    void runsAllTasksOnce() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 1_000, tasks(10, 1), gang(4, 8));
      rig.run(4_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
      assertEquals(14, rig.starts);
    }

    @Test
    void startsNoTaskBeforeTheStepsBeforeItAreDone() {
      SchedulerRig rig = rig(4);
      StepSpec second = StepSpec.builder(2, accelerators(1)).after(List.of(0)).build();
      rig.submit("a", 1, 1_000, tasks(2, 1), second);
      rig.run(900);
      assertEquals(2, rig.starts);
      rig.run(3_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    }

    @Test
    void failsJobAfterItsAttempts() {
      SchedulerRig rig = rig(4);
      rig.submitPoison("a", tasks(1, 1));
      rig.run(4_000);
      assertEquals(JobPhase.FAILED, rig.phase("a"));
      assertEquals(2, rig.starts);
    }

    @Test
    void stopsCancelledJobs() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 60_000, tasks(10, 1));
      rig.run(1_000);
      rig.pool.cancel("a");
      rig.run(1_000);
      assertEquals(JobPhase.CANCELLED, rig.phase("a"));
      assertTrue(rig.pool.workers().stream().allMatch(worker -> worker.runs().isEmpty()));
    }

    @Test
    void keepsLeasesOfLongRuns() {
      SchedulerRig rig = rig(2);
      rig.submit("a", 1, 30_000, tasks(2, 1));
      rig.run(32_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
      assertEquals(2, rig.starts);
    }
  }

  @Nested
  final class Takeover {
    @Test
    void adoptsRunsAndTheirEnds() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 3_000, tasks(20, 1), gang(2, 8));
      rig.run(1_000);
      rig.pool.takeOver();
      rig.run(1_000);
      rig.pool.takeOver();
      rig.run(8_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
      assertEquals(22, rig.starts);
    }

    @Test
    void restartsRunsOfAWorkerThatLeftWithTheOwner() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 3_000, tasks(4, 8));
      rig.run(1_000);
      rig.worker("w1").terminate();
      rig.pool.takeOver();
      rig.run(25_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    }

    @Test
    void toleratesCancellationOfAJobWhoseWorkerIsNotListed() {
      // Guards against a failing stop order to a worker without an address, which discarded all
      // later effects.
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 60_000, tasks(4, 8));
      rig.run(1_000);
      rig.worker("w1").terminate();
      rig.pool.takeOver();
      rig.pool.cancel("a");
      rig.submit("b", 1, 1_000, tasks(4, 1));
      rig.run(20_000);
      assertEquals(JobPhase.CANCELLED, rig.phase("a"));
      assertEquals(JobPhase.COMPLETED, rig.phase("b"));
    }

    @Test
    void stopsRunsOfAJobThatWasCancelledBeforeTheTakeover() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 60_000, tasks(4, 1));
      rig.run(1_000);
      rig.pool.cancelWithoutEvent("a");
      rig.pool.takeOver();
      rig.run(1_000);
      assertTrue(rig.pool.workers().stream().allMatch(worker -> worker.runs().isEmpty()));
    }
  }

  @Nested
  final class Faults {
    @Test
    void startsLostRunsAgainOnlyAfterTheirLease() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 3_000, tasks(4, 8));
      rig.run(1_000);
      rig.worker("w0").setUnreachable(true);
      rig.run(20_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
      assertEquals(5, rig.starts);
    }

    @Test
    void keepsRunsOfAWorkerThatIsSilentForLessThanTheirLease() {
      SchedulerRig rig = rig(4);
      rig.submit("a", 1, 8_000, tasks(4, 8));
      rig.run(1_500);
      rig.worker("w0").setUnreachable(true);
      rig.run(4_000);
      rig.worker("w0").setUnreachable(false);
      rig.run(8_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
      assertEquals(4, rig.starts);
    }

    @Test
    void usesAWorkerAgainSoonAfterItAnswers() {
      // Guards against idle workers that were not called again for 30 s after a failed call.
      SchedulerRig rig = rig(1);
      rig.run(13_000);
      rig.submit("a", 1, 3_000, tasks(1, 8));
      rig.run(1_000);
      rig.worker("w0").setUnreachable(true);
      rig.run(10_000);
      rig.worker("w0").setUnreachable(false);
      rig.run(6_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    }

    @Test
    void startsNothingWhileTheStoreIsAway() {
      SchedulerRig rig = rig(4);
      rig.pool.makeStoreUnavailable(5_000);
      rig.submit("a", 1, 500, tasks(4, 1));
      rig.run(4_900);
      assertEquals(0, rig.starts);
      rig.run(3_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    }

    @Test
    void avoidsAWorkerThatFailsJobsOfSeveralCallers() {
      SchedulerRig rig = rig(4);
      rig.worker("w0").setFailing(true);
      for (int i = 0; i < 20; i++) {
        rig.submit("job" + i, 1, 500, tasks(1, 2));
        rig.run(200);
      }
      rig.run(5_000);
      rig.assertAllFinal();
      assertTrue(rig.completed() >= 19, () -> "completed " + rig.completed());
    }

    @Test
    void ignoresRunsInAListThatIsOlderThanTheirEnd() {
      // Guards against stopping an ended run again because of an outdated list, which blocked its
      // resources.
      SchedulerRig rig = rig(2);
      rig.pool.transport().setListDelayMs(400);
      for (int i = 0; i < 20; i++) {
        rig.submit("job" + i, 1, 700, tasks(4, 1));
        rig.submit("cancelled" + i, 1, 5_000, tasks(4, 1));
        rig.run(300);
        rig.pool.cancel("cancelled" + i);
      }
      rig.run(10_000);
      rig.assertAllFinal();
      List<String> again =
          rig.pool.decisions().stream().filter(line -> line.contains("not expected")).toList();
      assertTrue(again.isEmpty(), () -> String.join("\n", again));
    }

    @Test
    void movesRunsThatMakeNoProgress() {
      SchedulerRig rig = rig(2);
      rig.worker("w0").setHanging(true);
      rig.worker("w1").setHanging(true);
      rig.submit("a", 1, 2_000, tasks(2, 8));
      rig.run(500);
      rig.worker("w0").setHanging(false);
      rig.worker("w1").setHanging(false);
      rig.run(15_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    }

    @Test
    void toleratesOrdersThatAreCarriedOutLate() {
      SchedulerRig rig = rig(4);
      rig.pool.transport().setDelayedCallShare(0.3);
      for (int i = 0; i < 20; i++) {
        rig.submit("job" + i, 1, 700, i % 2 == 0 ? tasks(4, 1) : gang(3, 4));
        rig.run(300);
      }
      rig.run(15_000);
      rig.pool.transport().setDelayedCallShare(0);
      rig.run(15_000);
      rig.assertAllFinal();
    }
  }

  @Nested
  final class Placing {
    @Test
    void keepsGangOnOneRack() {
      SchedulerRig rig = rig(8, 4, 0);
      rig.submit("small", 1, 1_000, tasks(8, 1));
      rig.run(100);
      rig.submit("a", 1, 1_000, gang(4, 8));
      rig.run(500);
      List<String> racks =
          rig.pool.workers().stream()
              .filter(
                  worker -> worker.runs().stream().anyMatch(run -> run.task().job().equals("a")))
              .map(worker -> worker.entry().rack())
              .distinct()
              .toList();
      assertEquals(1, racks.size(), racks::toString);
    }

    @Test
    void reclaimsAGuaranteeInTime() {
      SchedulerRig rig = rig(4, 8, 16);
      rig.submit("long", 2, 60_000, tasks(32, 1));
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(2, 8));
      rig.run(1_500);
      assertTrue(rig.hasStarted("urgent"));
      rig.run(2_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("urgent"));
    }

    @Test
    void meetsAGuaranteeBeforeThoseOfLaterJobs() {
      // Guards against later jobs of higher value density taking resources freed by stopped runs.
      SchedulerRig rig = rig(4, 8, 32);
      rig.submit("long", 2, 60_000, tasks(32, 1));
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(2, 8));
      for (int i = 0; i < 8; i++) {
        rig.run(100);
        rig.submit("later" + i, 0, 20_000, tasks(1, 1));
      }
      rig.run(500);
      assertTrue(rig.hasStarted("urgent"));
    }

    @Test
    void startsAGuaranteedGangOnTwoRacksWhenNoRackCanBeReclaimed() {
      // Both racks run guaranteed work, so waiting for a single rack would take until that work
      // ends.
      SchedulerRig rig = rig(8, 4, 64);
      rig.submit("first", 0, 20_000, gang(3, 8));
      rig.run(500);
      rig.submit("second", 0, 20_000, gang(3, 8));
      rig.run(500);
      rig.submit("third", 0, 1_000, gang(2, 8));
      rig.run(2_500);
      assertTrue(rig.hasStarted("third"));
    }

    private static StepSpec longTasks() {
      return StepSpec.builder(8, accelerators(1)).estimateMs(60_000).build();
    }

    @Test
    void stopsLongWorkForAnUrgentJobThatCanStillBeInTime() {
      SchedulerRig rig = rig(1);
      rig.submit("long", 2, 60_000, longTasks());
      rig.run(1_000);
      rig.submit("urgent", 0, 1_000, gang(1, 8));
      rig.run(4_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("urgent"));
    }

    @Test
    void stopsNothingForAnUrgentJobThatIsAlreadyLate() {
      // Guards against useless reclaims: many of 114 on one day were for jobs that were already
      // late.
      SchedulerRig rig = rig(1);
      rig.submit("long", 2, 60_000, longTasks());
      rig.run(1_000);
      rig.submitWithDelayedEvent("urgent", 0, 1_000, 4_000, gang(1, 8));
      rig.run(3_000);
      assertFalse(rig.pool.decisions().stream().anyMatch(line -> line.contains("reclaim step")));
    }

    @Test
    void stopsWorkForALateJobBeforeItLosesAllValue() {
      SchedulerRig rig = rig(1);
      rig.submit("long", 2, 60_000, longTasks());
      rig.run(1_000);
      rig.submitWithDelayedEvent("urgent", 0, 1_000, 9_000, gang(1, 8));
      rig.run(2_500);
      assertEquals(JobPhase.COMPLETED, rig.phase("urgent"));
    }

    @Test
    void doesNotStopWorkForAJobThatCanWait() {
      SchedulerRig rig = rig(1);
      rig.submit("first", 1, 2_000, tasks(8, 1));
      rig.run(500);
      rig.submit("second", 1, 2_000, tasks(8, 1));
      rig.run(6_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("second"));
      assertEquals(16, rig.starts);
      assertFalse(rig.pool.decisions().stream().anyMatch(line -> line.contains("reclaim")));
    }
  }
}
