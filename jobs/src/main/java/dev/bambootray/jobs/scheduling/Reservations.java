package dev.bambootray.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps capacity on workers reserved for steps that do not fit yet.
 *
 * <p>A reservation of kind {@link Kind#RECLAIM} stops runs of other jobs, so each of its places is
 * tracked separately: a place that is lost or is not freed in time is dropped alone, and further
 * runs are stopped only to replace it. A reservation of kind {@link Kind#DRAIN} waits for runs to
 * end by themselves and is dropped as a whole when one of its workers becomes unusable.
 */
final class Reservations {
  /** Determines how the reserved capacity becomes free. */
  enum Kind {
    /** Runs of other jobs were stopped; no other step may use the places. */
    RECLAIM,
    /** Runs end by themselves; more urgent steps may use the places. */
    DRAIN
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
  private static final long SETTLE_MS = 1_900;

  private final Map<StepRun, Reservation> byStep = new LinkedHashMap<>();

  /** Reserves places for a step in addition to those that it already has. */
  void add(StepRun step, Kind kind, Map<WorkerState, Integer> places, long nowMs) {
    Reservation reservation = byStep.computeIfAbsent(step, key -> new Reservation(kind));
    places.forEach(
        (worker, count) ->
            reservation.places.merge(
                worker,
                new Places(count, nowMs),
                (old, added) -> new Places(old.count() + added.count(), nowMs)));
  }

  void remove(StepRun step) {
    byStep.remove(step);
  }

  boolean has(StepRun step) {
    return byStep.containsKey(step);
  }

  /** Returns whether runs of other jobs were stopped for a step. */
  boolean isReclaim(StepRun step) {
    Reservation reservation = byStep.get(step);
    return reservation != null && reservation.kind == Kind.RECLAIM;
  }

  /** Returns the number of reserved places of a step by worker. */
  Map<WorkerState, Integer> places(StepRun step) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.forEach((worker, kept) -> places.put(worker, kept.count()));
    }
    return places;
  }

  /** Returns the number of reserved places of a step. */
  int count(StepRun step) {
    return places(step).values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns how many steps wait for runs to end by themselves. */
  long drains() {
    return byStep.values().stream().filter(kept -> kept.kind == Kind.DRAIN).count();
  }

  /** Removes one place of a step because a task was placed on the worker. */
  void use(StepRun step, WorkerState worker) {
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.computeIfPresent(
          worker,
          (key, kept) -> kept.count() > 1 ? new Places(kept.count() - 1, kept.sinceMs()) : null);
    }
  }

  /** Drops lost places and the reservations of steps that have no tasks ready. */
  void prune(Room freeResources, long nowMs) {
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
      StepRun step, Reservation reservation, Room freeResources, long nowMs) {
    if (reservation.kind == Kind.DRAIN) {
      return reservation.places.keySet().stream().allMatch(freeResources::isUsable);
    }
    reservation
        .places
        .entrySet()
        .removeIf(place -> isLost(step, place.getKey(), place.getValue(), freeResources, nowMs));
    return !reservation.places.isEmpty();
  }

  private static boolean isLost(
      StepRun step, WorkerState worker, Places places, Room freeResources, long nowMs) {
    if (!freeResources.isUsable(worker)) {
      return true;
    }
    return nowMs - places.sinceMs() > SETTLE_MS
        && freeResources.count(step, worker) < places.count();
  }

  /**
   * Subtracts the places of all reclaims from the free resources, so that no other step uses them.
   */
  void takeReclaimed(Room freeResources) {
    byStep.forEach(
        (step, reservation) -> {
          if (reservation.kind == Kind.RECLAIM) {
            takeFrom(freeResources, step);
          }
        });
  }

  /** Subtracts the places of a step from the free resources. */
  void takeFrom(Room freeResources, StepRun step) {
    places(step).forEach((worker, count) -> freeResources.take(worker, step.spec.each(), count));
  }

  /** Adds the places of a step back to the free resources. */
  void giveBack(Room freeResources, StepRun step) {
    places(step).forEach((worker, count) -> freeResources.take(worker, step.spec.each(), -count));
  }

  /** Returns the racks on which a step has places. */
  List<String> racks(StepRun step) {
    return places(step).keySet().stream().map(WorkerState::rack).distinct().toList();
  }
}
