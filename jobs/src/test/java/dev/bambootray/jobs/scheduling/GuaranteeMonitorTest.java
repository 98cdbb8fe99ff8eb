package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Workspace;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class GuaranteeMonitorTest {
  private static final long START_MS = 1_000;

  private final SchedulerState state = new SchedulerState(SchedulerTimes.withLeaseLimit(10_000));
  private final GuaranteeMonitor monitor = new GuaranteeMonitor(state);
  private final StepInstance step = acceptJobOfEightAccelerators();

  private StepInstance acceptJobOfEightAccelerators() {
    JobSpec spec =
        new JobSpec(
            "job",
            "ws",
            "t",
            "s",
            "p",
            List.of(StepSpec.builder(1, new Resources(8, 0, 0)).build()),
            new JobSpec.Objective(0, 1, 1, 1),
            JobSpec.Schedule.ONCE,
            START_MS);
    Job job = Job.of(spec, null, new EventTime(START_MS, START_MS));
    state.jobs.put(spec.id(), job);
    return job.openSteps().get(0);
  }

  private void guarantee(int accelerators) {
    Workspace workspace = new Workspace("ws", List.of(), accelerators);
    state.setDeclaration(new JobDeclaration(1, List.of(), Map.of(), List.of(workspace), 1));
  }

  private void round(long atMs) {
    monitor.onRound(List.of(step), GuaranteeCoverage.of(state), new EventTime(atMs, atMs));
  }

  private List<String> lines() {
    return state.takeEffects().stream()
        .filter(JobEffect.Decided.class::isInstance)
        .map(effect -> ((JobEffect.Decided) effect).text())
        .toList();
  }

  @Nested
  final class Coverage {
    @Test
    void isLoggedOnceForEachChange() {
      guarantee(4);
      round(START_MS);
      round(START_MS + 100);
      guarantee(8);
      round(START_MS + 200);
      List<String> lines = lines();
      assertEquals(2, lines.size(), lines::toString);
      assertTrue(lines.get(0).contains("covered=false need=8 used_before=0 guaranteed=4"));
      assertTrue(lines.get(1).contains("covered=true need=8 used_before=0 guaranteed=8"));
    }
  }

  @Nested
  final class Overdue {
    @Test
    void countsFromTheTimeAtWhichTheStepIsCovered() {
      guarantee(4);
      round(START_MS);
      guarantee(8);
      long coveredMs = START_MS + 5_000;
      round(coveredMs);
      round(coveredMs + GuaranteeMonitor.OVERDUE_MS);
      assertEquals(0, monitor.overdue());
      round(coveredMs + GuaranteeMonitor.OVERDUE_MS + 1);
      assertEquals(1, monitor.overdue());
      assertEquals(1, lines().stream().filter(line -> line.contains("overdue")).count());
    }

    @Test
    void endsWhenTheStepNoLongerWaits() {
      guarantee(8);
      round(START_MS);
      round(START_MS + GuaranteeMonitor.OVERDUE_MS + 1);
      assertEquals(1, monitor.overdue());
      monitor.onRound(List.of(), GuaranteeCoverage.of(state), new EventTime(9_000, 9_000));
      assertEquals(0, monitor.overdue());
    }
  }
}
