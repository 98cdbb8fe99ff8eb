package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Offers the places of one worker for a step: first those that are or become free without victims,
 * then those that stopping more and more runs frees, cheapest runs first.
 */
final class ReclaimOffers {
  /**
   * Some places of one worker.
   *
   * @param worker the worker
   * @param order position of the worker, which decides between offers of the same cost
   * @param places number of tasks that fit in addition to those of earlier offers
   * @param cost core-seconds that the victims lose
   * @param victims runs to stop for these places
   * @param rest offers for further places of the worker
   */
  record Offer(
      WorkerState worker,
      int order,
      int places,
      double cost,
      Set<Placement> victims,
      ReclaimOffers rest) {

    /** Orders offers by the cost of a place. */
    static final Comparator<Offer> CHEAPEST_FIRST =
        Comparator.comparingDouble((Offer offer) -> offer.cost() / offer.places())
            .thenComparingInt(Offer::order);
  }

  private final ReclaimRequest request;
  private final WorkerState worker;
  private final int order;
  private final int most;
  private final Iterator<Placement> stoppable;
  private Resources free;
  private int offered;

  private ReclaimOffers(
      ReclaimRequest request,
      WorkerState worker,
      int order,
      Resources free,
      List<Placement> stoppable) {
    this.request = request;
    this.worker = worker;
    this.order = order;
    this.free = free;
    this.stoppable = stoppable.iterator();
    int kept = request.kept().getOrDefault(worker, 0);
    most = FreeResources.remainingTasks(request.step(), worker) - kept;
  }

  /**
   * Returns the offers of a worker.
   *
   * @param request the step that needs places
   * @param worker the worker
   * @param order position of the worker among those that are compared
   * @param freeResources free resources, without those reserved for other steps
   */
  static ReclaimOffers of(
      ReclaimRequest request, WorkerState worker, int order, FreeResources freeResources) {
    Resources free = freeResources.free(worker);
    List<Placement> stoppable = new ArrayList<>();
    for (Placement placement : worker.placements.values()) {
      if (placement.phase == Placement.Phase.STOPPING) {
        free = ResourceMath.plus(free, placement.resources(), 1);
      } else if (request.mayStop().test(placement)) {
        stoppable.add(placement);
      }
    }
    stoppable.sort(
        Comparator.comparingDouble(placement -> ReclaimPlan.lostWork(placement, request.nowMs())));
    return new ReclaimOffers(request, worker, order, free, stoppable);
  }

  /** Returns the next offer, empty if no more tasks fit on the worker. */
  Optional<Offer> next() {
    Set<Placement> victims = new LinkedHashSet<>();
    double cost = 0;
    int places = additionalPlaces();
    while (places <= 0 && stoppable.hasNext()) {
      Placement victim = stoppable.next();
      free = ResourceMath.plus(free, victim.resources(), 1);
      victims.add(victim);
      cost += ReclaimPlan.lostWork(victim, request.nowMs());
      places = additionalPlaces();
    }
    if (places <= 0) {
      return Optional.empty();
    }
    offered += places;
    return Optional.of(new Offer(worker, order, places, cost, victims, this));
  }

  private int additionalPlaces() {
    return Math.min(most, ResourceMath.countFitting(request.step().spec.each(), free)) - offered;
  }
}
