package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * Places jobs that stand still although most of their service is idle and no further jobs arrive,
 * on capacity that is kept for gangs which do not fit yet, and on any rack.
 *
 * <p>Such a job gets one task, or one gang, at a time: enough to make progress, while the rest of
 * the capacity stays with the gang that waits for it.
 */
final class StandstillPlacer {
  /**
   * Time after which a job that runs nothing may use reserved capacity. The platform allows 3 s
   * until a run has begun. The rest covers the transaction in flight and that of the decision, each
   * of which may take a second, a round of placement and the order.
   */
  private static final long STANDSTILL_MS = 500;

  /**
   * Time without a new job after which the load has ended. Until then, keeping capacity for wide
   * gangs and preferred racks serves the jobs that follow; the platform allows no job to stand
   * still from 14 s after the last one.
   */
  private static final long LOAD_ENDED_MS = 12_000;

  private final SchedulerState state;
  private final StepPlacer placer;
  private final Map<Job, Long> stillSinceMs = new HashMap<>();

  /** Jobs of which the log tells that they stand still. */
  private final Set<Job> reported = new HashSet<>();

  StandstillPlacer(SchedulerState state, StepPlacer placer) {
    this.state = state;
    this.placer = placer;
  }

  /**
   * Places a part of each job that has stood still for too long.
   *
   * @param waiting all steps that have tasks to place, the most urgent first
   * @param freeResources free resources without those that reclaims have freed for other steps
   */
  void place(
      List<StepInstance> waiting,
      PackingPolicy packing,
      FreeResources freeResources,
      EventTime now) {
    List<StepInstance> due = findDue(waiting, now);
    if (due.isEmpty() || !hasLoadEnded(now)) {
      return;
    }
    for (StepInstance step : due) {
      // An earlier step of the same job may have been placed.
      if (runsNothing(step.job)
          && !placePart(step, packing, freeResources, now)
          && reported.add(step.job)) {
        report(step, now);
      }
    }
  }

  /** Returns the steps of jobs that have stood still for too long. */
  private List<StepInstance> findDue(List<StepInstance> waiting, EventTime now) {
    List<StepInstance> due = new ArrayList<>();
    Set<Job> still = new HashSet<>();
    Map<String, Boolean> mostlyIdle = new HashMap<>();
    for (StepInstance step : waiting) {
      if (runsNothing(step.job)
          && mostlyIdle.computeIfAbsent(step.job.spec.service(), this::isMostlyIdle)) {
        still.add(step.job);
        long sinceMs = stillSinceMs.computeIfAbsent(step.job, job -> now.ms());
        if (now.ms() - sinceMs >= STANDSTILL_MS && !state.reservations.isReclaim(step)) {
          due.add(step);
        }
      }
    }
    reported.retainAll(still);
    stillSinceMs.keySet().retainAll(still);
    return due;
  }

  /** Places a part of a step and returns whether it fits. */
  private boolean placePart(
      StepInstance step, PackingPolicy packing, FreeResources freeResources, EventTime now) {
    List<Task> ready = step.readyTasks();
    List<Task> part = step.isGang() ? ready : ready.subList(0, 1);
    Optional<Map<WorkerState, Integer>> places =
        packing.find(step, part.size(), freeResources, true);
    if (places.isEmpty()) {
      return false;
    }
    state.reservations.remove(step);
    placer.place(step, part, places.get(), now);
    return true;
  }

  /** Logs why a job stands still, once until it runs. */
  private void report(StepInstance step, EventTime now) {
    Map<String, Long> workers =
        state.workers.values().stream()
            .filter(worker -> FreeResources.mayRun(step, worker))
            .collect(
                Collectors.groupingBy(
                    worker -> worker.openness(now.ms()), TreeMap::new, Collectors.counting()));
    state.logDecision(
        step.job.spec.id(),
        "stands still step="
            + step.label()
            + " ready="
            + step.readyTasks().size()
            + " still_ms="
            + (now.ms() - stillSinceMs.getOrDefault(step.job, now.ms()))
            + " reservation="
            + state.reservations.describe(step)
            + " workers="
            + workers);
  }

  private boolean hasLoadEnded(EventTime now) {
    return state.jobs.values().stream().noneMatch(job -> now.ms() - job.acceptedMs < LOAD_ENDED_MS);
  }

  private static boolean runsNothing(Job job) {
    return job.openTasks().allMatch(task -> task.placements.isEmpty());
  }

  /** Returns whether less than half of each resource of a service is in use. */
  private boolean isMostlyIdle(String service) {
    List<WorkerState> workers =
        state.workers.values().stream()
            .filter(worker -> worker.entry.service().equals(service))
            .toList();
    return isMostlyIdle(workers, Resources::accelerators)
        && isMostlyIdle(workers, Resources::millicores)
        && isMostlyIdle(workers, Resources::memoryMib);
  }

  private static boolean isMostlyIdle(List<WorkerState> workers, ToIntFunction<Resources> amount) {
    long used = 0;
    long all = 0;
    for (WorkerState worker : workers) {
      all += amount.applyAsInt(worker.entry.capacity());
      for (Placement placement : worker.placements.values()) {
        used += mayHaveBegun(placement) ? amount.applyAsInt(placement.resources()) : 0;
      }
    }
    return all == 0 || 2 * used < all;
  }

  /** Returns whether a run may be at its worker; the platform counts no others as use. */
  private static boolean mayHaveBegun(Placement placement) {
    return placement.phase != Phase.ORDERED && placement.phase != Phase.STARTING;
  }
}
