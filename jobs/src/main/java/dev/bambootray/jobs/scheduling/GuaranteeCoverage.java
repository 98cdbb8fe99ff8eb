package dev.bambootray.jobs.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Determines which jobs are covered by the guarantee of their workspace.
 *
 * <p>Older jobs go first. A job that does not fit into what they leave is not covered, and leaves
 * the guarantee to later jobs.
 */
final class GuaranteeCoverage {
  /**
   * Compares what a job needs with the guarantee of its workspace, in accelerators.
   *
   * @param need accelerators of the job
   * @param usedBefore accelerators of the older jobs of the workspace that are covered
   * @param guaranteed accelerators guaranteed to the workspace
   */
  record Claim(long need, long usedBefore, long guaranteed) {
    boolean isCovered() {
      return usedBefore + need <= guaranteed;
    }
  }

  private final Map<Job, Claim> claims;

  private GuaranteeCoverage(Map<Job, Claim> claims) {
    this.claims = claims;
  }

  /** Returns a coverage that contains no job. */
  static GuaranteeCoverage none() {
    return new GuaranteeCoverage(Map.of());
  }

  /** Computes which jobs of priority 0 are covered. */
  static GuaranteeCoverage of(SchedulerState state) {
    List<Job> jobs =
        state.jobs.values().stream()
            .filter(job -> !job.phase.isFinal() && job.spec.objective().priority() == 0)
            .sorted(Comparator.comparingLong(job -> job.acceptedMs))
            .toList();
    Map<String, Long> used = new HashMap<>();
    Map<Job, Claim> claims = new HashMap<>();
    for (Job job : jobs) {
      String workspace = job.spec.workspace();
      long before = used.getOrDefault(workspace, 0L);
      long need = widestStepAccelerators(job);
      long guaranteed = state.declaration().guaranteedAccelerators(workspace);
      Claim claim = new Claim(need, before, guaranteed);
      claims.put(job, claim);
      if (claim.isCovered()) {
        used.put(workspace, before + need);
      }
    }
    return new GuaranteeCoverage(claims);
  }

  boolean covers(Job job) {
    Claim claim = claims.get(job);
    return claim != null && claim.isCovered();
  }

  /** Returns the claim of a job on the guarantee of its workspace, or null without priority 0. */
  @Nullable Claim claim(Job job) {
    return claims.get(job);
  }

  /** Returns the accelerators of the job's widest step, since steps of a job rarely overlap. */
  private static long widestStepAccelerators(Job job) {
    return job.spec.steps().stream()
        .mapToLong(step -> (long) step.count() * step.each().accelerators())
        .max()
        .orElse(0);
  }
}
