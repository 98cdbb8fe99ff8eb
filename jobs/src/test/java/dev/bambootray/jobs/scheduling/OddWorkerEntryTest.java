package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks what entries do that are valid but name no worker that answers as described. */
final class OddWorkerEntryTest {
  private static final Resources LARGEST =
      new Resources(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));

  private void takeOver(String... ids) {
    List<WorkerEntry> entries =
        Set.of(ids).stream()
            .map(
                id ->
                    new WorkerEntry(
                        id, "s", "10.0.0.9:80", "z", "r", Set.of(), LARGEST, Long.MAX_VALUE, false))
            .toList();
    handle(
        new JobEvent.TookOver(
            new JobDeclaration(0, List.of(), Map.of(), List.of(), 0),
            List.of(),
            Map.of(),
            Set.of(),
            entries),
        0);
  }

  private void handle(JobEvent event, long nowMs) {
    List<JobEffect> unused = scheduler.handle(event, new EventTime(nowMs, nowMs));
  }

  @Test
  void sumsOfTheLargestCapacitiesDoNotOverflow() {
    takeOver("a", "b", "c");
    assertEquals(3L * Integer.MAX_VALUE, scheduler.load().accelerators());
    assertEquals(3L * Integer.MAX_VALUE, scheduler.load().freeAccelerators());
  }
}
