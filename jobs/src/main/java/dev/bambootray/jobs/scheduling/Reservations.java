package dev.bambootray.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/** Workers that are kept free for steps until these fit. */
final class Reservations {

  /**
   * Places kept for one step.
   *
   * @param places number of tasks by worker
   * @param reclaim whether borrowers were stopped for it
   * @param sinceMs when it was made
   */
  record Reservation(Map<WorkerState, Integer> places, boolean reclaim, long sinceMs) {
    Reservation {
      places = Map.copyOf(places);
    }
  }

  private final Map<StepRun, Reservation> byStep = new LinkedHashMap<>();

  void put(StepRun step, Reservation reservation) {
    byStep.put(step, reservation);
  }

  void remove(StepRun step) {
    byStep.remove(step);
  }

  boolean has(StepRun step) {
    return byStep.containsKey(step);
  }

  Map<StepRun, Reservation> all() {
    return byStep;
  }

  long drains() {
    return byStep.values().stream().filter(reservation -> !reservation.reclaim()).count();
  }

  /** Drops reservations of steps that need none and of workers that are not usable. */
  void prune(Room room) {
    byStep
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().job.phase.isFinal()
                    || entry.getKey().readyTasks().isEmpty()
                    || !entry.getValue().places().keySet().stream().allMatch(room::isUsable));
  }

  /** Takes all reserved places out of a room. */
  void takeFrom(Room room) {
    byStep.forEach((step, reservation) -> apply(room, step, reservation, 1));
  }

  /** Puts the places of one step back into a room. */
  void giveBack(Room room, StepRun step) {
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      apply(room, step, reservation, -1);
    }
  }

  private static void apply(Room room, StepRun step, Reservation reservation, int sign) {
    reservation
        .places()
        .forEach((worker, count) -> room.take(worker, step.spec.each(), sign * count));
  }
}
