package dev.bambootray.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Workers that are kept free for steps until these fit.
 *
 * <p>A reclaim stops runs of others, so its places stay bound to its step, one by one: a place that
 * is lost or does not come free in time is given up alone, and only its replacement may cost
 * further runs. A drain waits for runs to end by themselves and is given up as a whole.
 */
final class Reservations {
  /** How places are kept. */
  enum Kind {
    /** Runs of others were stopped; nobody else gets the places. */
    RECLAIM,
    /** Runs end by themselves; steps that are more urgent may take the places. */
    DRAIN
  }

  /**
   * Places at one worker.
   *
   * @param count number of tasks
   * @param sinceMs when they were chosen
   */
  record Places(int count, long sinceMs) {}

  /** Places kept for one step; the order of workers is stable, so that replays repeat. */
  private static final class Reservation {
    private final Kind kind;
    private final Map<WorkerState, Places> places = new LinkedHashMap<>();

    private Reservation(Kind kind) {
      this.kind = kind;
    }
  }

  /**
   * Longest time for the runs of a place to end. The platform stops a run within 0.9 s; its end has
   * to be listed, and a stop without an answer is repeated once.
   */
  private static final long SETTLE_MS = 1_900;

  private final Map<StepRun, Reservation> byStep = new LinkedHashMap<>();

  /** Keeps places for a step, beside those that it has. */
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

  /** Returns whether runs of others were stopped for a step. */
  boolean isReclaim(StepRun step) {
    Reservation reservation = byStep.get(step);
    return reservation != null && reservation.kind == Kind.RECLAIM;
  }

  /** Returns the number of tasks by worker that places are kept for. */
  Map<WorkerState, Integer> places(StepRun step) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.forEach((worker, kept) -> places.put(worker, kept.count()));
    }
    return places;
  }

  /** Returns how many tasks of a step places are kept for. */
  int count(StepRun step) {
    return places(step).values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns how many steps wait for runs that end by themselves. */
  long drains() {
    return byStep.values().stream().filter(kept -> kept.kind == Kind.DRAIN).count();
  }

  /** Notes that a task of a step was placed on a worker. */
  void use(StepRun step, WorkerState worker) {
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places.computeIfPresent(
          worker,
          (key, kept) -> kept.count() > 1 ? new Places(kept.count() - 1, kept.sinceMs()) : null);
    }
  }

  /** Drops places that are of no use any more, and reservations of steps that need none. */
  void prune(Room room, long nowMs) {
    byStep
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().job.phase.isFinal()
                    || !entry.getKey().hasReadyTasks()
                    || !prunePlaces(entry.getKey(), entry.getValue(), room, nowMs));
  }

  /** Drops lost places and returns whether any are left. */
  private static boolean prunePlaces(StepRun step, Reservation reservation, Room room, long nowMs) {
    if (reservation.kind == Kind.DRAIN) {
      return reservation.places.keySet().stream().allMatch(room::isUsable);
    }
    reservation
        .places
        .entrySet()
        .removeIf(place -> isLost(step, place.getKey(), place.getValue(), room, nowMs));
    return !reservation.places.isEmpty();
  }

  private static boolean isLost(
      StepRun step, WorkerState worker, Places places, Room room, long nowMs) {
    if (!room.isUsable(worker)) {
      return true;
    }
    return nowMs - places.sinceMs() > SETTLE_MS && room.count(step, worker) < places.count();
  }

  /** Takes the places of all reclaims out of a room, so that no other step uses them. */
  void takeReclaimed(Room room) {
    byStep.forEach(
        (step, reservation) -> {
          if (reservation.kind == Kind.RECLAIM) {
            takeFrom(room, step);
          }
        });
  }

  /** Takes the places of a step out of a room. */
  void takeFrom(Room room, StepRun step) {
    places(step).forEach((worker, count) -> room.take(worker, step.spec.each(), count));
  }

  /** Returns the places of a step to a room. */
  void giveBack(Room room, StepRun step) {
    places(step).forEach((worker, count) -> room.take(worker, step.spec.each(), -count));
  }

  /** Returns the racks of the places of a step. */
  List<String> racks(StepRun step) {
    return places(step).keySet().stream().map(WorkerState::rack).distinct().toList();
  }
}
