package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import org.junit.jupiter.api.Test;

final class LongRunningTest {
  /** Time that the platform allows a long-running task to be without a run. */
  private static final long ALLOWED_MS = 9_000;

  /** The work of tasks that fail, which end after this time. */
  private static final long UNTIL_FAILURE_MS = 500;

  private static StepSpec longRunning(int count, int accelerators) {
    return StepSpec.builder(count, new Resources(accelerators, 2_000, 1_000))
        .estimateMs(1_000)
        .longRunning(true)
        .build();
  }

  /** Guards against a long-running task that waits behind the jobs of a burst. */
  @Test
  void runsAgainWhileOtherJobsFillThePool() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    rig.submitPoison("long", longRunning(1, 8));
    rig.run(20_000);
    for (int i = 0; i < 4; i++) {
      for (int j = 0; j < 20; j++) {
        rig.submit("burst-" + i + "-" + j, 1, 3_000, SchedulerRig.tasks(1, 8));
      }
      long before = rig.startsOf("long");
      rig.run(ALLOWED_MS + UNTIL_FAILURE_MS);
      assertTrue(rig.startsOf("long") > before, () -> rig.decisionsAbout("long"));
    }
  }

  /** Guards against a worker that is paused for too long because such tasks fail on it in turn. */
  @Test
  void runsAgainOnAWorkerOnWhichOthersFailToo() {
    SchedulerRig rig = SchedulerRig.owned(1, 8, 0);
    rig.submitPoison("first", longRunning(1, 1));
    rig.run(250);
    rig.submitPoison("second", longRunning(1, 1));
    rig.run(3_000);
    for (int i = 0; i < 4; i++) {
      long before = rig.startsOf("first");
      rig.run(ALLOWED_MS + UNTIL_FAILURE_MS);
      assertTrue(rig.startsOf("first") > before, () -> rig.decisionsAbout("first"));
    }
  }

  @Test
  void reclaimsNothingForTasksThatHaveNeverRun() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    for (int i = 0; i < 4; i++) {
      rig.submit("first-" + i, 1, 20_000, SchedulerRig.tasks(1, 8));
    }
    rig.run(300);
    rig.submit("long", 1, 60_000, longRunning(2, 8));
    rig.run(10_000);
    assertEquals(0, rig.stops("reclaimed"));
  }
}
