package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.JobSpec.Schedule;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ScheduledJobTest {
  private static void submit(SchedulerRig rig, Schedule schedule, StepSpec... steps) {
    rig.pool.submit(
        new JobSpec(
            "a",
            "ws",
            "p1",
            "s",
            "payload",
            List.of(steps),
            new JobSpec.Objective(1, 2, 3.0, 1_000),
            schedule,
            rig.pool.wallMs()),
        SimulatedWork.of(300));
  }

  @Test
  void startsEachOccurrenceAtItsTime() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    submit(rig, new Schedule(5, rig.pool.wallMs() + 2_000, 1_000), SchedulerRig.tasks(2, 1));
    rig.run(1_900);
    assertEquals(0, rig.starts);
    rig.run(1_000);
    assertEquals(2, rig.starts);
    rig.run(4_600);
    assertEquals(10, rig.starts);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
  }

  /** Guards against occurrences that a new owner repeats or leaves out. */
  @Test
  void startsEachOccurrenceOnceAcrossTakeovers() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    StepSpec last = StepSpec.builder(1, SchedulerRig.tasks(1, 1).each()).after(List.of(0)).build();
    submit(rig, new Schedule(20, rig.pool.wallMs(), 500), SchedulerRig.tasks(2, 1), last);
    for (int i = 0; i < 12; i++) {
      rig.run(770);
      rig.pool.takeOver();
    }
    rig.run(15_000);
    assertEquals(60, rig.starts);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
  }

  /** Guards against occurrences that stay unopened because too many were due at once. */
  @Test
  void startsAllOccurrencesThatAreDueAtOnce() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    submit(rig, new Schedule(400, rig.pool.wallMs(), 0), SchedulerRig.tasks(1, 1));
    rig.run(20_000);
    assertEquals(400, rig.starts);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
  }
}
