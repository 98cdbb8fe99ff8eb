package dev.bambootray.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps capacity on workers reserved for steps that do not fit yet.
 *
 * <p>A reservation of kind {@link Kind#STOP_RUNS} stops runs of other jobs, so each of its places
 * is tracked separately: a place that is lost or is not freed in time is dropped alone, and further
 * runs are stopped only to replace it. A reservation of kind {@link Kind#AWAIT_ENDS} waits for runs
 * to end by themselves and is dropped as a whole when one of its workers becomes unusable.
 */
final class StepReservations {
  /** Determines how the reserved capacity becomes free. */
  enum Kind {
    /** Runs of other jobs were stopped; no other step may use the places. */
    STOP_RUNS,
    /** Runs end by themselves; more urgent steps may use the places. */
    AWAIT_ENDS
  }

  /**
   * Capacity reserved on one worker.
   *
   * @param count number of tasks that it is reserved for
   * @param sinceMs time of the reservation
   */
  record Places(int count, long sinceMs) {}

  /** Holds the places of one step, in insertion order so that replays are deterministic. */
  private static final class Reservation {
    private final Kind kind;
    private final Map<WorkerState, Places> places = new LinkedHashMap<>();

    private Reservation(Kind kind) {
      this.kind = kind;
    }
  }

  /**
   * Time after which a place that is still occupied is dropped. The platform stops a run within 0.9
   * s; the rest allows for the worker to report the end and for one repeated stop order.
   */
  private static final long RECLAIM_TIMEOUT_MS = 1_900;

  private final Map<StepInstance, Reservation> byStep = new LinkedHashMap<>();

  /**
   * Reserves places for a step, in addition to those of the same kind that it already has. Places
   * of the other kind are dropped.
   */
  void add(StepInstance step, Kind kind, Map<WorkerState, Integer> places, long nowMs) {
    Reservation reservation =
        byStep.compute(
            step, (key, old) -> old != null && old.kind == kind ? old : new Reservation(kind));
    places.forEach(
        (worker, count) ->
            reservation.places.merge(
                worker,
                new Places(count, nowMs),
                (old, added) -> new Places(old.count() + added.count(), nowMs)));
  }

  void remove(StepInstance step) {
    byStep.remove(step);
  }

  boolean has(StepInstance step) {
    return byStep.containsKey(step);
  }

  /** Returns whether runs of other jobs were stopped for a step. */
  boolean isReclaim(StepInstance step) {
    return isOfKind(step, Kind.STOP_RUNS);
  }

  /** Returns whether a step waits for runs to end by themselves. */
  boolean isAwaitingEnds(StepInstance step) {
    return isOfKind(step, Kind.AWAIT_ENDS);
  }

  private boolean isOfKind(StepInstance step, Kind kind) {
    Reservation reservation = byStep.get(step);
    return reservation != null && reservation.kind == kind;
  }

  /** Returns the number of reserved places of a step by worker. */
  Map<WorkerState, Integer> places(StepInstance step) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.forEach((worker, kept) -> places.put(worker, kept.count()));
    }
    return places;
  }

  /** Returns the number of reserved places of a step. */
  int count(StepInstance step) {
    return places(step).values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the kind of a step's reservation and its number of places, for the log. */
  String describe(StepInstance step) {
    Reservation reservation = byStep.get(step);
    return reservation == null ? "none" : reservation.kind + ":" + count(step);
  }

  /** Returns how many steps wait for runs to end by themselves. */
  long countAwaitingEnds() {
    return byStep.values().stream().filter(kept -> kept.kind == Kind.AWAIT_ENDS).count();
  }

  /** Removes one place of a step because a task was placed on the worker. */
  void consume(StepInstance step, WorkerState worker) {
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.computeIfPresent(
          worker,
          (key, kept) -> kept.count() > 1 ? new Places(kept.count() - 1, kept.sinceMs()) : null);
    }
  }

  /** Drops lost places and the reservations of steps that have no tasks ready. */
  void prune(FreeResources freeResources, long nowMs) {
    byStep
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().job.phase.isFinal()
                    || !entry.getKey().hasReadyTasks()
                    || !prunePlaces(entry.getKey(), entry.getValue(), freeResources, nowMs));
  }

  /** Drops lost places and returns whether the reservation remains in force. */
  private static boolean prunePlaces(
      StepInstance step, Reservation reservation, FreeResources freeResources, long nowMs) {
    if (reservation.kind == Kind.AWAIT_ENDS) {
      return reservation.places.keySet().stream().allMatch(freeResources::isUsable);
    }
    reservation
        .places
        .entrySet()
        .removeIf(place -> isLost(step, place.getKey(), place.getValue(), freeResources, nowMs));
    return !reservation.places.isEmpty();
  }

  private static boolean isLost(
      StepInstance step,
      WorkerState worker,
      Places places,
      FreeResources freeResources,
      long nowMs) {
    if (!freeResources.isUsable(worker)) {
      return true;
    }
    return nowMs - places.sinceMs() > RECLAIM_TIMEOUT_MS
        && freeResources.countFitting(step, worker) < places.count();
  }

  /**
   * Subtracts the places of all reclaims from the free resources, so that no other step uses them.
   */
  void allocateReclaimed(FreeResources freeResources) {
    byStep.forEach(
        (step, reservation) -> {
          if (reservation.kind == Kind.STOP_RUNS) {
            allocate(freeResources, step);
          }
        });
  }

  /** Subtracts the places of a step from the free resources. */
  void allocate(FreeResources freeResources, StepInstance step) {
    places(step)
        .forEach((worker, count) -> freeResources.allocate(worker, step.spec.each(), count));
  }

  /** Adds the places of a step back to the free resources. */
  void release(FreeResources freeResources, StepInstance step) {
    places(step)
        .forEach((worker, count) -> freeResources.allocate(worker, step.spec.each(), -count));
  }
}
