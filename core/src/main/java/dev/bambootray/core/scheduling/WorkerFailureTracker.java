package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.TemplateId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Quarantines workers on which several distinct jobs failed in a row, and readmits them after a
 * successful probe.
 *
 * <p>Failures of a job or template that also fails on other workers do not count, so a poison job
 * does not quarantine workers.
 */
final class WorkerFailureTracker {
  /** Number of distinct jobs that must fail in a row; two may be a coincidence. */
  static final int DISTINCT_JOBS = 3;

  /**
   * Number of workers on which a template must fail, without a success, to be held at fault itself.
   */
  private static final int POISON_TEMPLATE_WORKERS = 3;

  /** Largest share of the pool in quarantine, so that misleading failures cannot empty the pool. */
  private static final double MAX_QUARANTINED_SHARE = 0.25;

  /** Delay of the first probe; it doubles with each failed probe. */
  static final long PROBE_AFTER_MS = 30_000;

  private static final int MAX_DOUBLINGS = 5;

  private final WorkerPool pool;
  private final UniformRandomProvider random;
  private final Map<PoolWorker, Set<Job>> failedJobs = new LinkedHashMap<>();
  private final Map<TemplateId, Set<PoolWorker>> failedTemplates = new HashMap<>();
  private final Map<PoolWorker, Quarantine> quarantined = new LinkedHashMap<>();

  WorkerFailureTracker(WorkerPool pool, UniformRandomProvider random) {
    this.pool = pool;
    this.random = random;
  }

  /** Clears the failures of the worker and the template of a member that succeeded. */
  void onSucceeded(Member member) {
    failedJobs.remove(member.worker);
    failedTemplates.remove(member.gang.job.request.template().id());
    if (member.worker.probation) {
      member.worker.probation = false;
      quarantined.remove(member.worker);
      pool.refresh(member.worker);
    }
  }

  /**
   * Counts the failure of a member and quarantines its worker if there were too many.
   *
   * @return whether the worker was quarantined
   */
  boolean onFailed(Member member, long nowMs) {
    Job job = member.gang.job;
    PoolWorker worker = member.worker;
    job.failedOn.add(worker.id);
    Set<PoolWorker> workers =
        failedTemplates.computeIfAbsent(job.request.template().id(), t -> new HashSet<>());
    workers.add(worker);
    if (worker.probation) {
      job.nextFailureExcused = true;
      quarantine(worker, nowMs);
      return true;
    }
    if (job.failedOn.size() > 1 || workers.size() >= POISON_TEMPLATE_WORKERS) {
      failedJobs.values().forEach(jobs -> jobs.remove(job));
      return false;
    }
    Set<Job> jobs = failedJobs.computeIfAbsent(worker, w -> new LinkedHashSet<>());
    jobs.add(job);
    boolean belowLimit =
        quarantined.size() < Math.max(1, MAX_QUARANTINED_SHARE * pool.workers.size());
    if (jobs.size() < DISTINCT_JOBS || !belowLimit) {
      return false;
    }
    for (Job failedJob : jobs) {
      failedJob.failures = Math.max(0, failedJob.failures - 1);
    }
    job.nextFailureExcused = true;
    failedJobs.remove(worker);
    quarantine(worker, nowMs);
    return true;
  }

  private void quarantine(PoolWorker worker, long nowMs) {
    Quarantine quarantine = quarantined.computeIfAbsent(worker, w -> new Quarantine());
    long afterMs = PROBE_AFTER_MS << Math.min(quarantine.doublings, MAX_DOUBLINGS);
    quarantine.doublings++;
    quarantine.probeAtMs = nowMs + afterMs + random.nextLong(afterMs / 4);
    worker.probation = false;
    worker.quarantined = true;
    pool.refresh(worker);
  }

  /**
   * Ends the quarantine of workers whose probe is due; they take one small job at a time.
   *
   * @return whether any worker changed
   */
  boolean tick(long nowMs) {
    boolean changed = false;
    for (Map.Entry<PoolWorker, Quarantine> entry : quarantined.entrySet()) {
      PoolWorker worker = entry.getKey();
      if (worker.quarantined && entry.getValue().probeAtMs <= nowMs) {
        worker.quarantined = false;
        worker.probation = true;
        pool.refresh(worker);
        changed = true;
      }
    }
    return changed;
  }

  /** Returns whether a worker in probation may take the job. */
  static boolean mayProbe(PoolWorker worker, Job job) {
    return job.shape.members() == 1 && job.repeatable() && worker.members.isEmpty();
  }

  /** Time of the next probe of a quarantined worker, and number of quarantines so far. */
  private static final class Quarantine {
    private long probeAtMs;
    private int doublings;
  }
}
