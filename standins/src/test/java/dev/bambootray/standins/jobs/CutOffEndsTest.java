package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against finished tasks that ran again because a list had no space for their ends. */
final class CutOffEndsTest {
  private static final int JOBS = 32;
  private static final int TASKS_OF_A_JOB = 20;
  private static final int TASKS = JOBS * TASKS_OF_A_JOB;
  private static final long TASK_MS = 3_000;
  private static final Resources WORKER = new Resources(8, 128_000, 262_144);
  private static final Resources TASK = new Resources(0, 200, 256);

  private final SchedulerRig rig = new SchedulerRig(1).workers(1, 1, WORKER);

  @BeforeEach
  void startAll() {
    rig.pool.takeOver();
    rig.run(200);
    for (int job = 0; job < JOBS; job++) {
      rig.submit("job" + job, 1, TASK_MS, StepSpec.builder(TASKS_OF_A_JOB, TASK).build());
    }
    rig.run(1_000);
    assertEquals(TASKS, rig.starts);
  }

  private void assertEachTaskRanOnce() {
    rig.run(20_000);
    rig.assertAllFinal();
    assertEquals(TASKS, rig.starts);
  }

  @Nested
  final class WhileTheStoreIsAway {
    /** The longer outage exceeds the time without progress after which a run counts as stalled. */
    @ParameterizedTest
    @ValueSource(longs = {4_500, 7_000})
    void finishedTasksRunOnce(long outageMs) {
      rig.pool.makeStoreUnavailable(outageMs);
      assertEachTaskRanOnce();
      assertEquals(0, rig.stops("no progress"));
    }

    @Test
    void theLogTellsThatEndsAreMissing() {
      rig.pool.makeStoreUnavailable(4_500);
      rig.run(4_000);
      String line = "w0 list of ends cut off runs_not_listed=" + (TASKS - 500);
      assertTrue(rig.pool.decisions().stream().anyMatch(one -> one.endsWith(line)));
    }
  }

  @Nested
  final class AcrossATakeover {
    @Test
    void finishedTasksRunOnce() {
      rig.pool.makeStoreUnavailable(4_500);
      rig.run(3_500);
      rig.pool.takeOver();
      assertEachTaskRanOnce();
    }
  }
}
