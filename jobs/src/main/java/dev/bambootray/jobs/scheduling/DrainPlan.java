package dev.bambootray.jobs.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses workers to be kept free for a gang that does not fit anywhere. Without it small tasks
 * take every place that comes free and a wide gang waits for ever.
 */
final class DrainPlan {
  /** A gang whose value is at risk within this time gets workers kept free. */
  private static final long RISK_HORIZON_MS = 9_000;

  private final RunTimes runTimes;
  private final Map<WorkerState, Long> emptyMs = new HashMap<>();

  DrainPlan(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Begins a round of placement, in which it is worked out once when a worker will be empty. */
  void beginRound() {
    emptyMs.clear();
  }

  /** Notes that a worker got a further run in this round. */
  void onPlaced(WorkerState worker) {
    emptyMs.remove(worker);
  }

  /** Returns the workers that come free first, if the gang's value is at risk. */
  Optional<Map<WorkerState, Integer>> find(
      StepRun step, int count, Room room, ValueDensityOrder order, long nowMs) {
    Job job = step.job;
    long chainMs = runTimes.remainingChainMs(job, step.occurrence);
    double latestStartMs = job.acceptedMs + order.allowedMs(job, step.occurrence) - chainMs;
    if (nowMs < latestStartMs - RISK_HORIZON_MS) {
      return Optional.empty();
    }
    List<WorkerState> candidates =
        room.candidates(step).stream()
            .filter(worker -> room.free(worker).accelerators() >= 0)
            .toList();
    if (!step.spec.sameRack()) {
      return earliest(step, count, candidates, nowMs);
    }
    return PackingPlacement.byRack(candidates).values().stream()
        .map(rack -> earliest(step, count, rack, nowMs))
        .flatMap(Optional::stream)
        .min(Comparator.comparingLong(places -> readyMs(places, nowMs)))
        .or(() -> earliest(step, count, candidates, nowMs));
  }

  private Optional<Map<WorkerState, Integer>> earliest(
      StepRun step, int count, List<WorkerState> workers, long nowMs) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    int left = count;
    for (WorkerState worker :
        workers.stream()
            .sorted(Comparator.comparingLong(worker -> emptyMs(worker, nowMs)))
            .toList()) {
      int most = Amounts.count(step.spec.each(), worker.entry.capacity());
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
    return places.keySet().stream().mapToLong(worker -> emptyMs(worker, nowMs)).max().orElse(nowMs);
  }

  /** Returns when the runs of a worker are expected to have ended. */
  private long emptyMs(WorkerState worker, long nowMs) {
    return emptyMs.computeIfAbsent(worker, key -> lastEndMs(key, nowMs));
  }

  private long lastEndMs(WorkerState worker, long nowMs) {
    return worker.placements.values().stream()
        .mapToLong(placement -> placement.startedMs + runTimes.expectedMs(placement.task.step))
        .max()
        .orElse(nowMs);
  }
}
