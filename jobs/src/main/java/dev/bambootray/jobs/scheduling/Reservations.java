package dev.bambootray.jobs.scheduling;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** Workers that are kept free for steps until these fit. */
final class Reservations {
  /** Stopped runs end within 0.9 s; after this time other victims are looked for. */
  private static final long RECLAIM_MS = 1_300;

  /**
   * Places kept for one step.
   *
   * @param places number of tasks by worker
   * @param reclaim whether borrowers were stopped for it
   * @param sinceMs when it was made
   */
  record Reservation(Map<WorkerState, Integer> places, boolean reclaim, long sinceMs) {
    Reservation {
      // Keeps the order, so that replays repeat.
      places = Collections.unmodifiableMap(new LinkedHashMap<>(places));
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

  /**
   * Drops reservations of steps that need none, of workers that are not usable, and those for which
   * the stopped runs did not end in time.
   */
  void prune(Room room, long nowMs) {
    byStep
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().job.phase.isFinal()
                    || !entry.getKey().hasReadyTasks()
                    || (entry.getValue().reclaim()
                        && nowMs - entry.getValue().sinceMs() > RECLAIM_MS)
                    || !entry.getValue().places().keySet().stream().allMatch(room::isUsable));
  }

  /** Takes the places of a step out of a room. */
  void takeFrom(Room room, StepRun step) {
    Reservation reservation = byStep.get(step);
    if (reservation != null) {
      reservation.places().forEach((worker, count) -> room.take(worker, step.spec.each(), count));
    }
  }
}
