package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a pool that starts nothing while the store takes long for each transaction. */
final class SlowCommitTest {
  private static final int WORKERS_PER_RACK = 20;
  private static final int TASKS = 8;
  private static final long WORK_MS = 2_000;

  /** Time for all jobs to end; the slowest transactions below store 60 jobs in 1.1 s. */
  private static final long END_MS = 60_000;

  private static SchedulerRig submit(int workers, int jobs, long commitMs) {
    SchedulerRig rig = SchedulerRig.owned(workers, WORKERS_PER_RACK, 0);
    rig.pool.setCommitMs(commitMs);
    for (int i = 0; i < jobs; i++) {
      rig.submit("job" + i, 1, WORK_MS, SchedulerRig.tasks(TASKS, 1));
    }
    return rig;
  }

  /** More jobs change at once than one transaction has room for. */
  @ParameterizedTest
  @CsvSource({"200", "400", "800", "1100"})
  void manyJobsStart(long commitMs) {
    SchedulerRig rig = submit(350, 300, commitMs);
    rig.run(END_MS);
    assertEquals(300, rig.completed());
    assertEquals(300 * TASKS, rig.starts);
  }

  /** A transaction takes longer than the decision to start a run used to be valid. */
  @ParameterizedTest
  @CsvSource({"20, 30", "60, 350"})
  void aFewJobsStart(int jobs, int workers) {
    SchedulerRig rig = submit(workers, jobs, 1_100);
    rig.run(END_MS);
    assertEquals(jobs, rig.completed());
    assertEquals(jobs * TASKS, rig.starts);
  }
}
