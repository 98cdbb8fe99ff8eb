package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.JobSpec.Schedule;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ScheduledJobMemoryTest {
  private static final long NOW_MS = 1_000_000;
  private static final long HOUR_MS = 3_600_000;

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));

  private static JobSpec hourly(int number) {
    return new JobSpec(
        "job-" + number,
        "ws",
        "t",
        "s",
        "p",
        List.of(StepSpec.builder(1, new Resources(1, 1, 1)).build()),
        new JobSpec.Objective(1, 1, 1, 1),
        new Schedule(5_000, NOW_MS + HOUR_MS, HOUR_MS),
        NOW_MS);
  }

  private void takeOver(List<JobSpec> jobs) {
    JobDeclaration declaration = new JobDeclaration(0, List.of(), Map.of(), List.of(), 0);
    handle(new JobEvent.DeclarationConfirmed(NOW_MS), NOW_MS);
    handle(new JobEvent.TookOver(declaration, jobs, Map.of(), Set.of(), List.of()), NOW_MS);
  }

  private void handle(JobEvent event, long nowMs) {
    var unused = scheduler.handle(event, new EventTime(nowMs, nowMs));
  }

  private long stepsInMemory() {
    return scheduler.describe().lines().count();
  }

  /** Guards against a heap that fills with occurrences which are due in months. */
  @Test
  void holdsNoStepsOfOccurrencesThatAreNotDue() {
    takeOver(List.of());
    IntStream.range(0, 90)
        .forEach(number -> handle(new JobEvent.Accepted(hourly(number)), NOW_MS + number));
    handle(new JobEvent.Tick(), NOW_MS + 1_000);
    assertEquals(0, stepsInMemory());
  }

  /** Guards against a new owner whose heap such jobs fill while it takes the pool over. */
  @Test
  void holdsNoneAfterATakeoverEither() {
    takeOver(IntStream.range(0, 90).mapToObj(ScheduledJobMemoryTest::hourly).toList());
    assertEquals(0, stepsInMemory());
  }

  /** Guards against a limit of accepted jobs that does not see what they take. */
  @Test
  void countsWhatIsHeld() {
    takeOver(List.of());
    assertEquals(0, scheduler.load().heldBytes());
    handle(new JobEvent.Accepted(hourly(0)), NOW_MS);
    long aheadBytes = scheduler.load().heldBytes();
    handle(new JobEvent.DeclarationConfirmed(NOW_MS + 50 * HOUR_MS), NOW_MS + 50 * HOUR_MS);
    long openBytes = scheduler.load().heldBytes();
    assertEquals(50 * 380, openBytes - aheadBytes);
    handle(new JobEvent.CancelRequested("job-0"), NOW_MS + 50 * HOUR_MS);
    assertEquals(aheadBytes - 1, scheduler.load().heldBytes());
  }

  @Test
  void holdsTheStepsOfOccurrencesThatAreDue() {
    takeOver(List.of(hourly(0)));
    handle(new JobEvent.DeclarationConfirmed(NOW_MS + 2 * HOUR_MS), NOW_MS + 2 * HOUR_MS);
    assertEquals(2, stepsInMemory());
  }

  /** Guards against state for each of thousands of occurrences that find no worker. */
  @Test
  void limitsOccurrencesThatFindNoPlace() {
    takeOver(List.of(hourly(0)));
    long laterMs = NOW_MS + 4_000 * HOUR_MS;
    handle(new JobEvent.DeclarationConfirmed(laterMs), laterMs);
    assertEquals(100, stepsInMemory());
  }
}
