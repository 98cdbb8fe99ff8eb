package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks which hinted jobs the scheduler reports as missing an update from the store. */
final class JobSchedulerMissingUpdateTest {
  private static final EventTime NOW = new EventTime(1_000, 1_000);
  private static final JobSpec JOB =
      new JobSpec(
          "j",
          "w",
          "t",
          "s",
          "p",
          List.of(StepSpec.builder(1, new Resources(1, 1, 1)).build()),
          new JobSpec.Objective(1, 1, 1, 1),
          JobSpec.Schedule.ONCE,
          1);

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));

  JobSchedulerMissingUpdateTest() {
    handle(
        new JobEvent.TookOver(
            new JobDeclaration(0, List.of(), Map.of(), List.of(), 0),
            List.of(),
            Map.of(),
            Set.of(),
            List.of()));
  }

  private void handle(JobEvent event) {
    List<JobEffect> unused = scheduler.handle(event, NOW);
  }

  @Test
  void missesAJobUntilItIsAccepted() {
    assertTrue(scheduler.isMissingUpdate("j", false));
    handle(new JobEvent.Accepted(JOB));
    assertFalse(scheduler.isMissingUpdate("j", false));
  }

  @Test
  void missesACancellationUntilItIsCarriedOut() {
    handle(new JobEvent.Accepted(JOB));
    assertTrue(scheduler.isMissingUpdate("j", true));
    handle(new JobEvent.CancelRequested("j"));
    assertFalse(scheduler.isMissingUpdate("j", true));
  }
}
