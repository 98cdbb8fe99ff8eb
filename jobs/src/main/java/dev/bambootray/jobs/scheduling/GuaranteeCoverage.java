package dev.bambootray.jobs.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines which jobs are covered by the guarantee of their workspace; older jobs go first. */
final class GuaranteeCoverage {
  private final Set<Job> covered;

  private GuaranteeCoverage(Set<Job> covered) {
    this.covered = covered;
  }

  /** Returns a coverage that contains no job. */
  static GuaranteeCoverage none() {
    return new GuaranteeCoverage(Set.of());
  }

  /** Computes which jobs of priority 0 are covered. */
  static GuaranteeCoverage of(SchedulerState state) {
    List<Job> jobs =
        state.jobs.values().stream()
            .filter(job -> !job.phase.isFinal() && job.spec.objective().priority() == 0)
            .sorted(Comparator.comparingLong(job -> job.acceptedMs))
            .toList();
    Map<String, Long> used = new HashMap<>();
    Set<Job> covered = new HashSet<>();
    for (Job job : jobs) {
      String workspace = job.spec.workspace();
      long sum = used.getOrDefault(workspace, 0L) + widestStepAccelerators(job);
      used.put(workspace, sum);
      if (sum <= state.declaration().guaranteedAccelerators(workspace)) {
        covered.add(job);
      }
    }
    return new GuaranteeCoverage(covered);
  }

  boolean covers(Job job) {
    return covered.contains(job);
  }

  /** Returns the accelerators of the job's widest step, since steps of a job rarely overlap. */
  private static long widestStepAccelerators(Job job) {
    return job.spec.steps().stream()
        .mapToLong(step -> (long) step.count() * step.each().accelerators())
        .max()
        .orElse(0);
  }
}
