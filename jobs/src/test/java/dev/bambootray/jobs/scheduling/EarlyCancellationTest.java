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
import org.junit.jupiter.api.Test;

final class EarlyCancellationTest {
  private static final long NOW_MS = 1_000;
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
          NOW_MS);

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));
  private final List<JobRecord> stored = new ArrayList<>();
  private final List<String> removedMarks = new ArrayList<>();

  private void handle(JobEvent event, long nowMs) {
    for (JobEffect effect : scheduler.handle(event, new EventTime(nowMs, nowMs))) {
      if (effect instanceof JobEffect.Persist batch) {
        stored.addAll(batch.records());
      } else if (effect instanceof JobEffect.RemoveCancelMark removal) {
        removedMarks.add(removal.job());
      }
    }
  }

  private void takeOver(Set<String> cancelled) {
    handle(
        new JobEvent.TookOver(
            new JobDeclaration(0, List.of(), Map.of(), List.of(), 0),
            List.of(),
            Map.of(),
            cancelled,
            List.of()),
        NOW_MS);
  }

  private void assertCancelled() {
    assertEquals(List.of(JobPhase.CANCELLED), stored.stream().map(JobRecord::phase).toList());
  }

  /** Guards against a job that runs because a node of an earlier build stored it late. */
  @Test
  void endsAJobThatIsStoredAfterItsMark() {
    takeOver(Set.of());
    handle(new JobEvent.CancelRequested("j"), NOW_MS);
    handle(new JobEvent.Accepted(JOB), NOW_MS + 6_000);
    assertCancelled();
  }

  @Test
  void endsItAlsoAfterATakeover() {
    takeOver(Set.of("j"));
    handle(new JobEvent.Accepted(JOB), NOW_MS + 6_000);
    assertCancelled();
  }

  @Test
  void removesTheMarkOnceNoSubmissionCanBeOnItsWay() {
    takeOver(Set.of("j"));
    long expiredMs = NOW_MS + EarlyCancellations.RETENTION_MS;
    handle(new JobEvent.Tick(), expiredMs);
    assertEquals(List.of(), removedMarks);
    handle(new JobEvent.Tick(), expiredMs + 5_001);
    handle(new JobEvent.Tick(), expiredMs + 10_002);
    assertEquals(List.of("j", "j"), removedMarks);
    handle(new JobEvent.CancelMarkRemoved("j"), expiredMs + 10_003);
    handle(new JobEvent.Tick(), expiredMs + 20_000);
    assertEquals(List.of("j", "j"), removedMarks);
  }
}
