package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a job of priority 0 begins all tasks of its first step in time while all such jobs of
 * its workspace need no more than the guarantee, as the platform's rule RECLAIM demands.
 */
final class GuaranteeDeadlineCheck {
  /** Time between two checks. */
  static final long INTERVAL_MS = 50;

  /** Time that the strictest deployment allows from the confirmation of a job. */
  private static final long RECLAIM_MS = 2_900;

  /** Time after a disturbance during which the rule does not apply. */
  private static final long NEAR_DISTURBANCE_MS = 5_000;

  private final PoolSimulation pool;
  private final Set<TaskName> begun = new HashSet<>();

  /** Last time at which the jobs of a workspace needed more than its guarantee. */
  private final Map<String, Long> exceededMs = new HashMap<>();

  private long disturbedMs = -NEAR_DISTURBANCE_MS;

  GuaranteeDeadlineCheck(PoolSimulation pool) {
    this.pool = pool;
  }

  void onStart(RunName run) {
    begun.add(run.task());
  }

  /** Checks all jobs that have not ended. */
  void check() {
    disturbedMs = Math.max(disturbedMs, Math.min(pool.nowMs(), pool.disturbedUntilMs()));
    if (hasDisturbedWorker()) {
      disturbedMs = pool.nowMs();
    }
    List<JobSpec> open =
        pool.jobs().stream()
            .filter(job -> job.objective().priority() == 0 && !pool.phase(job.id()).isFinal())
            .toList();
    Map<String, Long> needs = new HashMap<>();
    open.forEach(job -> needs.merge(job.workspace(), accelerators(job), Long::sum));
    needs.forEach(
        (workspace, need) -> {
          if (need > pool.declaration().guaranteedAccelerators(workspace)) {
            exceededMs.put(workspace, pool.nowMs());
          }
        });
    open.stream().filter(job -> !hasBegun(job)).forEach(this::check);
  }

  private void check(JobSpec job) {
    long acceptedMs = PoolSimulation.fromWallMs(job.acceptedWallMs());
    long sinceMs = Math.max(acceptedMs, exceededMs.getOrDefault(job.workspace(), 0L));
    boolean calm = acceptedMs > Math.max(disturbedMs, pool.lastFaultMs()) + NEAR_DISTURBANCE_MS;
    if (calm && pool.nowMs() - sinceMs > RECLAIM_MS) {
      throw new AssertionError(
          job.id()
              + " has not begun "
              + RECLAIM_MS
              + " ms after its guarantee applied, at "
              + pool.nowMs()
              + decisionsAbout(job.id())
              + "\n"
              + pool.describe());
    }
  }

  private String decisionsAbout(String job) {
    List<String> lines =
        pool.decisions().stream().filter(line -> line.contains(" " + job + " ")).toList();
    return "\n" + String.join("\n", lines);
  }

  private boolean hasDisturbedWorker() {
    return pool.workers().stream()
        .anyMatch(worker -> worker.isUnreachable() || worker.isFailing() || worker.isHanging());
  }

  private boolean hasBegun(JobSpec job) {
    for (int index = 0; index < job.steps().get(0).count(); index++) {
      if (!begun.contains(new TaskName(job.id(), 0, 0, index))) {
        return false;
      }
    }
    return true;
  }

  private static long accelerators(JobSpec job) {
    return job.steps().stream()
        .mapToLong(step -> (long) step.count() * step.each().accelerators())
        .max()
        .orElse(0);
  }
}
