package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the order in which the rows of a job that ended long ago are removed. */
final class ExpiredJobRemovalTest {
  private static final long EXPIRED_MS = 700_000;
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
  private static final Map<String, JobRecord> RECORDS =
      Map.of("j", new JobRecord("j", JobPhase.COMPLETED, 1, List.of()));

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));
  private final List<String> rowsToRemove = new ArrayList<>();
  private final List<String> recordsToRemove = new ArrayList<>();

  private void handle(JobEvent event, long nowMs) {
    for (JobEffect effect : scheduler.handle(event, new EventTime(nowMs, nowMs))) {
      if (effect instanceof JobEffect.RemoveJobRows removal) {
        rowsToRemove.add(removal.job());
      } else if (effect instanceof JobEffect.Persist batch) {
        recordsToRemove.addAll(batch.removedJobs());
      }
    }
  }

  private void takeOver(List<JobSpec> jobs) {
    handle(
        new JobEvent.TookOver(
            new JobDeclaration(0, List.of(), Map.of(), List.of(), 0),
            jobs,
            RECORDS,
            Set.of(),
            List.of()),
        1_000);
  }

  @Test
  void removesTheRecordOnlyAfterTheRows() {
    // A job whose record is removed first would run again if the owner ended in between.
    takeOver(List.of(JOB));
    handle(new JobEvent.Tick(), EXPIRED_MS);
    assertEquals(List.of("j"), rowsToRemove);
    assertEquals(List.of(), recordsToRemove);
    handle(new JobEvent.JobRowsRemoved("j"), EXPIRED_MS + 10);
    assertEquals(List.of("j"), recordsToRemove);
  }

  @Test
  void repeatsARemovalThatWasNotConfirmed() {
    takeOver(List.of(JOB));
    handle(new JobEvent.Tick(), EXPIRED_MS);
    handle(new JobEvent.Tick(), EXPIRED_MS + 10_000);
    assertEquals(List.of("j", "j"), rowsToRemove);
  }

  /** Guards against a heap that fills with finished jobs, when more end than are removed. */
  @Test
  void removesMoreAtATimeOfALongBacklog() {
    List<JobSpec> jobs =
        IntStream.range(0, 1_000)
            .mapToObj(
                i ->
                    new JobSpec(
                        "j" + i,
                        "w",
                        "t",
                        "s",
                        "p",
                        JOB.steps(),
                        JOB.objective(),
                        JobSpec.Schedule.ONCE,
                        1))
            .toList();
    Map<String, JobRecord> records =
        jobs.stream()
            .collect(
                Collectors.toMap(
                    JobSpec::id, job -> new JobRecord(job.id(), JobPhase.COMPLETED, 1, List.of())));
    handle(
        new JobEvent.TookOver(
            new JobDeclaration(0, List.of(), Map.of(), List.of(), 0),
            jobs,
            records,
            Set.of(),
            List.of()),
        1_000);
    handle(new JobEvent.Tick(), EXPIRED_MS);
    assertEquals(100, rowsToRemove.size());
  }

  @Test
  void removesTheRecordsOfJobsWhoseRowsTheOwnerBeforeHasRemoved() {
    takeOver(List.of());
    assertEquals(List.of("j"), recordsToRemove);
  }
}
