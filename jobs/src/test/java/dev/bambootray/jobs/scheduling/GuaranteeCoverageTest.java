package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Workspace;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class GuaranteeCoverageTest {
  private final SchedulerState state = new SchedulerState(SchedulerTimes.withLeaseLimit(10_000));

  private Job accept(String id, long atMs, int count, int accelerators) {
    JobSpec spec =
        new JobSpec(
            id,
            "ws",
            "t",
            "s",
            "p",
            List.of(StepSpec.builder(count, new Resources(accelerators, 0, 0)).build()),
            new JobSpec.Objective(0, 1, 1, 1),
            JobSpec.Schedule.ONCE,
            atMs);
    Job job = Job.of(spec, null, new EventTime(atMs, atMs));
    state.jobs.put(id, job);
    return job;
  }

  @Test
  void doesNotCoverJobsWhoseAcceleratorsOverflow() {
    // Guards against a sum below 0, which would cover all later jobs of the workspace.
    state.setDeclaration(
        new JobDeclaration(1, List.of(), Map.of(), List.of(new Workspace("ws", List.of(), 8)), 1));
    Job small = accept("small", 1, 1, 8);
    Job overflowing = accept("overflowing", 2, 2, 1 << 30);
    Job later = accept("later", 3, 1, 8);
    GuaranteeCoverage coverage = GuaranteeCoverage.of(state);
    assertTrue(coverage.covers(small));
    assertFalse(coverage.covers(overflowing));
    assertFalse(coverage.covers(later));
  }

  @Test
  void leavesTheGuaranteeToLaterJobsIfAnOlderOneDoesNotFit() {
    // Guards against one large job that keeps all later jobs of its workspace from being covered.
    state.setDeclaration(
        new JobDeclaration(1, List.of(), Map.of(), List.of(new Workspace("ws", List.of(), 24)), 1));
    Job first = accept("first", 1, 1, 8);
    Job large = accept("large", 2, 3, 8);
    Job small = accept("small", 3, 2, 8);
    GuaranteeCoverage coverage = GuaranteeCoverage.of(state);
    assertTrue(coverage.covers(first));
    assertFalse(coverage.covers(large));
    assertTrue(coverage.covers(small));
  }
}
