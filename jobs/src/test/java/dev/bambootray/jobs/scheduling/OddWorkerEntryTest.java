package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks what entries do that are valid but name no worker that answers as described. */
final class OddWorkerEntryTest {
  private static final Resources LARGEST =
      new Resources(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));
  private final List<String> decisions = new ArrayList<>();
  private int holds;

  private static WorkerEntry entry(String id) {
    return new WorkerEntry(
        id, "s", "10.0.0.9:80", "z", "r", Set.of(), LARGEST, Long.MAX_VALUE, false);
  }

  private void takeOver(String... ids) {
    List<WorkerEntry> entries = Set.of(ids).stream().map(OddWorkerEntryTest::entry).toList();
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
    for (JobEffect effect : scheduler.handle(event, new EventTime(nowMs, nowMs))) {
      if (effect instanceof JobEffect.Decided decided) {
        decisions.add(decided.text());
      }
      holds += effect instanceof JobEffect.HoldWorker ? 1 : 0;
    }
  }

  @Test
  void sumsOfTheLargestCapacitiesDoNotOverflow() {
    takeOver("a", "b", "c");
    assertEquals(3L * Integer.MAX_VALUE, scheduler.load().accelerators());
    assertEquals(3L * Integer.MAX_VALUE, scheduler.load().freeAccelerators());
  }

  @Test
  void callsAWorkerSeldomAtWhoseAddressAnotherAnswers() {
    // Guards against a line and a priced call every few ticks for an entry with a foreign address.
    takeOver("a");
    int answered = 0;
    for (long nowMs = 50; nowMs <= 60_000; nowMs += 50) {
      handle(new JobEvent.Tick(), nowMs);
      if (holds > answered) {
        answered++;
        handle(
            new JobEvent.HoldAnswered(entry("a"), new HoldReply.WorkerRestarted(), nowMs, false),
            nowMs);
      }
    }
    assertEquals(1, decisions.stream().filter(text -> text.contains("restarted")).count());
    assertTrue(holds <= 62, () -> "calls in a minute: " + holds);
  }
}
