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
import java.util.function.Predicate;

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
   * @param step the step to place
   * @param count number of its tasks
   * @param freeResources free resources, without those reserved for other steps
   * @param racks racks of its other places, empty to allow any rack
   * @param anywhere whether to use several racks instead of waiting for one
   * @param mayStop whether a run may be stopped for it
   * @param nowMs current time
   */
  static Optional<ReclaimPlan> find(
      StepInstance step,
      int count,
      FreeResources freeResources,
      List<String> racks,
      boolean anywhere,
      Predicate<Placement> mayStop,
      long nowMs) {
    List<WorkerState> candidates = freeResources.candidates(step);
    if (!racks.isEmpty()) {
      candidates.removeIf(worker -> !racks.contains(worker.rack()));
      return planIn(step, count, candidates, freeResources, mayStop, nowMs);
    }
    Collection<List<WorkerState>> groups =
        step.spec.sameRack() && step.isGang()
            ? new ArrayList<>(PackingPolicy.byRack(candidates).values())
            : new ArrayList<>();
    Optional<ReclaimPlan> plan = Optional.empty();
    groups.removeIf(group -> !PackingPolicy.couldFitWhenIdle(step, count, group));
    if (groups.isEmpty()) {
      return planIn(step, count, candidates, freeResources, mayStop, nowMs);
    }
    double leastCost = Double.MAX_VALUE;
    for (List<WorkerState> group : groups) {
      Optional<ReclaimPlan> found = planIn(step, count, group, freeResources, mayStop, nowMs);
      if (found.isPresent() && cost(found.get(), nowMs) < leastCost) {
        leastCost = cost(found.get(), nowMs);
        plan = found;
      }
    }
    return plan.isEmpty() && anywhere
        ? planIn(step, count, candidates, freeResources, mayStop, nowMs)
        : plan;
  }

  private static Optional<ReclaimPlan> planIn(
      StepInstance step,
      int count,
      List<WorkerState> workers,
      FreeResources freeResources,
      Predicate<Placement> mayStop,
      long nowMs) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(Offer.CHEAPEST_FIRST);
    for (int order = 0; order < workers.size(); order++) {
      ReclaimOffers.of(step, workers.get(order), order, freeResources, mayStop, nowMs)
          .next()
          .ifPresent(offers::add);
    }
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    Set<Placement> victims = new LinkedHashSet<>();
    int left = count;
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
