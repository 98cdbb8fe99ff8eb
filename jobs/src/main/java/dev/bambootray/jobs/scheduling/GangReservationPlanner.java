package dev.bambootray.jobs.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses workers to reserve for a gang that does not fit anywhere. Without a reservation small
 * tasks take all capacity as it becomes free and a wide gang starves.
 */
final class GangReservationPlanner {
  /** Workers are reserved for a gang if it would be late unless it starts within this time. */
  private static final long RISK_HORIZON_MS = 9_000;

  private final TemplateStatistics statistics;
  private final Map<WorkerState, Long> expectedEmptyMs = new HashMap<>();

  GangReservationPlanner(TemplateStatistics statistics) {
    this.statistics = statistics;
  }

  /** Begins a round of placement and clears the estimates cached in the previous round. */
  void beginRound() {
    expectedEmptyMs.clear();
  }

  /** Discards the cached estimate of a worker that got another run in this round. */
  void onPlaced(WorkerState worker) {
    expectedEmptyMs.remove(worker);
  }

  /** Returns the workers expected to be empty first, if the gang risks being late. */
  Optional<Map<WorkerState, Integer>> find(
      StepInstance step,
      int count,
      FreeResources freeResources,
      ValueDensityOrder order,
      long nowMs) {
    Job job = step.job;
    long chainMs = statistics.remainingCriticalPathMs(job, step.occurrence);
    double latestStartMs = job.acceptedMs + order.allowedMs(job, step.occurrence) - chainMs;
    if (nowMs < latestStartMs - RISK_HORIZON_MS) {
      return Optional.empty();
    }
    List<WorkerState> candidates =
        freeResources.candidates(step).stream()
            .filter(worker -> freeResources.free(worker).accelerators() >= 0)
            .toList();
    if (!step.spec.sameRack()) {
      return earliestEmpty(step, count, candidates, nowMs);
    }
    return PackingPolicy.byRack(candidates).values().stream()
        .map(rack -> earliestEmpty(step, count, rack, nowMs))
        .flatMap(Optional::stream)
        .min(Comparator.comparingLong(places -> readyMs(places, nowMs)))
        .or(() -> earliestEmpty(step, count, candidates, nowMs));
  }

  private Optional<Map<WorkerState, Integer>> earliestEmpty(
      StepInstance step, int count, List<WorkerState> workers, long nowMs) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    int left = count;
    for (WorkerState worker :
        workers.stream()
            .sorted(Comparator.comparingLong(worker -> expectedEmptyMs(worker, nowMs)))
            .toList()) {
      int most = ResourceMath.countFitting(step.spec.each(), worker.entry.capacity());
      int taken = Math.min(left, most);
      if (taken > 0) {
        places.put(worker, taken);
        left -= taken;
      }
      if (left == 0) {
        return Optional.of(places);
      }
    }
    return Optional.empty();
  }

  private long readyMs(Map<WorkerState, Integer> places, long nowMs) {
    return places.keySet().stream()
        .mapToLong(worker -> expectedEmptyMs(worker, nowMs))
        .max()
        .orElse(nowMs);
  }

  /** Returns when all runs of a worker are expected to have ended. */
  private long expectedEmptyMs(WorkerState worker, long nowMs) {
    return expectedEmptyMs.computeIfAbsent(worker, key -> expectedLastEndMs(key, nowMs));
  }

  private long expectedLastEndMs(WorkerState worker, long nowMs) {
    return worker.placements.values().stream()
        .mapToLong(placement -> placement.startedMs + statistics.expectedRunMs(placement.task.step))
        .max()
        .orElse(nowMs);
  }
}
