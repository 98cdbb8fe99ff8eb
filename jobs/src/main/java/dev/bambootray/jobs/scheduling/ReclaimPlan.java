package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.ReclaimOffers.Offer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Describes the places for a step and the runs that must be stopped to free them.
 *
 * @param places number of tasks by worker
 * @param victims runs to stop
 */
record ReclaimPlan(Map<WorkerState, Integer> places, Set<Placement> victims) {

  /** Average time to stop a run and to start its task again, in seconds. */
  private static final double RESTART_SECONDS = 1.0;

  /** Average work that a checkpointing task loses when it is stopped, in seconds. */
  private static final double CHECKPOINT_LOSS_SECONDS = 0.5;

  /**
   * Finds places for which the stopped runs lose the least work.
   *
   * @param request what is needed
   * @param freeResources free resources, without those reserved for other steps
   */
  static Optional<ReclaimPlan> find(ReclaimRequest request, FreeResources freeResources) {
    StepInstance step = request.step();
    List<WorkerState> candidates = request.candidates(freeResources);
    if (request.boundToRacks() || !step.spec.sameRack() || !step.isGang()) {
      return planIn(candidates, request, freeResources);
    }
    Collection<List<WorkerState>> racks =
        new ArrayList<>(PackingPolicy.byRack(candidates).values());
    racks.removeIf(rack -> !PackingPolicy.couldFitWhenIdle(step, request.count(), rack));
    if (racks.isEmpty()) {
      return planIn(candidates, request, freeResources);
    }
    Optional<ReclaimPlan> plan = Optional.empty();
    double leastCost = Double.MAX_VALUE;
    for (List<WorkerState> rack : racks) {
      Optional<ReclaimPlan> found = planIn(rack, request, freeResources);
      if (found.isPresent() && cost(found.get(), request.nowMs()) < leastCost) {
        leastCost = cost(found.get(), request.nowMs());
        plan = found;
      }
    }
    return plan.isEmpty() && request.anywhere() ? planIn(candidates, request, freeResources) : plan;
  }

  private static Optional<ReclaimPlan> planIn(
      List<WorkerState> workers, ReclaimRequest request, FreeResources freeResources) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(Offer.CHEAPEST_FIRST);
    for (int order = 0; order < workers.size(); order++) {
      ReclaimOffers.of(request, workers.get(order), order, freeResources)
          .next()
          .ifPresent(offers::add);
    }
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    Set<Placement> victims = new LinkedHashSet<>();
    int left = request.count();
    while (left > 0 && !offers.isEmpty()) {
      Offer offer = offers.remove();
      int taken = Math.min(left, offer.places());
      places.merge(offer.worker(), taken, Integer::sum);
      victims.addAll(offer.victims());
      left -= taken;
      offer.rest().next().ifPresent(offers::add);
    }
    return left == 0 ? Optional.of(new ReclaimPlan(places, victims)) : Optional.empty();
  }

  /**
   * Returns the value that the stopped jobs lose, assuming that it is proportional to the lost
   * work.
   *
   * @param order computes the value of a job
   * @param statistics estimates the work of a job
   * @param nowMs current time
   */
  double lostValue(ValueDensityOrder order, TemplateStatistics statistics, long nowMs) {
    // A gang counts once, although several of its members may be victims.
    Set<StepInstance> gangs = new HashSet<>();
    double sum = 0;
    for (Placement victim : victims) {
      StepInstance step = victim.task.step;
      if (!step.isGang() || gangs.add(step)) {
        double share =
            lostWork(victim, nowMs) / Math.max(1.0, statistics.totalCoreSeconds(step.job));
        sum += share * order.fullValue(step.job);
      }
    }
    return sum;
  }

  private static double cost(ReclaimPlan plan, long nowMs) {
    return plan.victims().stream().mapToDouble(victim -> lostWork(victim, nowMs)).sum();
  }

  /** Returns the core-seconds that are lost when a run, and with it its gang, is stopped. */
  static double lostWork(Placement victim, long nowMs) {
    StepInstance step = victim.task.step;
    double seconds = Math.max(0, nowMs - victim.startedMs) / 1_000.0;
    if (step.spec.checkpointing()) {
      seconds = Math.min(seconds, CHECKPOINT_LOSS_SECONDS);
    }
    int members = step.isGang() ? step.spec.count() : 1;
    // Tasks that were already stopped for others cost more, so that they are not chosen again.
    int times = 1 + victim.task.reclaims;
    return times
        * members
        * (seconds + RESTART_SECONDS)
        * ResourceMath.weightInCores(step.spec.each());
  }
}
