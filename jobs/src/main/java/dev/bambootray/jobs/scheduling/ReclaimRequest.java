package dev.bambootray.jobs.scheduling;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Asks for places for a step that may stop runs of other jobs.
 *
 * @param step the step to place
 * @param count number of its tasks
 * @param kept number of places that it already has, by worker
 * @param boundToRacks whether the places must be on the racks of those that it has
 * @param anywhere whether to use several racks instead of waiting for one
 * @param mayStop whether a run may be stopped for it
 * @param nowMs current time
 */
record ReclaimRequest(
    StepInstance step,
    int count,
    Map<WorkerState, Integer> kept,
    boolean boundToRacks,
    boolean anywhere,
    Predicate<Placement> mayStop,
    long nowMs) {

  /** Returns the workers on which places may be found. */
  List<WorkerState> candidates(FreeResources freeResources) {
    List<WorkerState> candidates = freeResources.candidates(step);
    if (boundToRacks) {
      List<String> racks = kept.keySet().stream().map(WorkerState::rack).distinct().toList();
      candidates.removeIf(worker -> !racks.contains(worker.rack()));
    }
    return candidates;
  }
}
