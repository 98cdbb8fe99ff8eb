package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.RegionId;
import java.util.SortedSet;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates and holds the components of a region scheduler. */
final class SchedulerParts {
  final EffectBuffer effects = new EffectBuffer();
  final JobQueue queue = new JobQueue();
  final LossBudget losses = new LossBudget();
  final WorkerPool pool;
  final GangLifecycle lifecycle;
  final GuaranteePlan plan;
  final ClaimTracker claims;
  final ReservationTable reservations;
  final FairShare shares;
  final AdmissionControl admission;
  final RunTimeEstimator estimates;
  final GuaranteedPlacementFinder guaranteed;
  final WorkerFailureTracker failureTracker;
  final UsageEnforcer usage;
  final ReservationPlanner planner;

  SchedulerParts(
      Declaration declaration,
      RegionId region,
      SchedulingPolicies policies,
      UniformRandomProvider random,
      GangListener listener) {
    pool = WorkerPool.of(declaration, region);
    lifecycle = new GangLifecycle(pool, effects, listener);
    plan = new GuaranteePlan(pool);
    claims = new ClaimTracker(pool, lifecycle, policies.victims(), losses);
    estimates = policies.estimates();
    planner = new ReservationPlanner(pool, estimates);
    reservations = new ReservationTable(planner);
    shares = new FairShare(pool);
    admission = new AdmissionControl(pool, declaration);
    guaranteed =
        new GuaranteedPlacementFinder(pool, plan, policies.placement(), policies.victims(), losses);
    failureTracker = new WorkerFailureTracker(pool, random);
    usage = new UsageEnforcer(lifecycle, effects);
  }

  /** Returns the load; the expected wait is that of the average waiting gang. */
  GangLoad load(long nowMs) {
    int total = 0;
    for (PoolWorker worker : pool.workers) {
      total += worker.takesWork() ? worker.accelerators : 0;
    }
    return new GangLoad(pool.free.total(), total, backlogMs(Math.max(1, total)));
  }

  /** Returns the estimated accelerator time of the queue divided by the number of accelerators. */
  private long backlogMs(int totalAccelerators) {
    double backlog = 0;
    for (SortedSet<Job> lane : queue.lanes()) {
      Job head = lane.first();
      backlog += (double) lane.size() * estimates.typicalMs(head) * head.shape.totalAccelerators();
    }
    return (long) (backlog / totalAccelerators);
  }
}
