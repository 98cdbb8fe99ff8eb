package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Holds the active reservations; later jobs may use their workers only if they end in time. */
final class ReservationTable {
  /** Limit: one for the largest waiting job and one for a job that has waited too long. */
  private static final int MAX_RESERVATIONS = 2;

  private final ReservationPlanner planner;
  private final Map<Job, Reservation> reservations = new LinkedHashMap<>();

  ReservationTable(ReservationPlanner planner) {
    this.planner = planner;
  }

  List<Reservation> all() {
    return new ArrayList<>(reservations.values());
  }

  @Nullable Reservation of(Job job) {
    return reservations.get(job);
  }

  /** Plans a reservation for a job unless it has one or the limit is reached. */
  void reserve(Job job, long nowMs) {
    if (reservations.containsKey(job) || reservations.size() >= MAX_RESERVATIONS) {
      return;
    }
    Reservation reservation = planner.plan(job, nowMs);
    if (reservation == null) {
      return;
    }
    reservations.put(job, reservation);
    reservation.workers().forEach(worker -> worker.reservation = reservation);
    if (job.promisedStartMs == 0) {
      job.promisedStartMs = reservation.startMs();
    }
  }

  /** Drops the reservation of a job, if it has one. */
  void drop(Job job) {
    Reservation reservation = reservations.remove(job);
    if (reservation != null) {
      reservation.workers().forEach(worker -> worker.reservation = null);
    }
  }

  /** Drops reservations that include a worker that no longer takes work. */
  void dropLost() {
    for (Reservation reservation : all()) {
      if (reservation.workers().stream().anyMatch(worker -> !worker.takesWork())) {
        drop(reservation.job());
      }
    }
  }
}
