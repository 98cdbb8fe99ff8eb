package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Packs tasks on the fullest workers that have enough free resources, so that whole workers and
 * racks stay free for wide gangs. A step that is slower across racks, or away from its data, waits
 * for the preferred rack before it uses other racks.
 */
final class PackingPolicy {
  private final boolean fullestFirst;

  /**
   * Creates the policy.
   *
   * @param fullestFirst whether the fullest workers are filled first, instead of the order of the
   *     list
   */
  PackingPolicy(boolean fullestFirst) {
    this.fullestFirst = fullestFirst;
  }

  /**
   * Finds places for a number of tasks of a step.
   *
   * @param step the step
   * @param count number of tasks
   * @param freeResources free resources of the workers
   * @param anywhere whether to accept slower racks instead of waiting for the preferred one
   * @return number of tasks by worker, or empty if they do not all fit
   */
  Optional<Map<WorkerState, Integer>> find(
      StepInstance step, int count, FreeResources freeResources, boolean anywhere) {
    if (!freeResources.canFit(step, count)) {
      return Optional.empty();
    }
    List<WorkerState> fitting =
        fullestFirst ? freeResources.fitting(step) : freeResources.inListingOrder(step);
    if (!step.spec.dataRack().isEmpty() && !anywhere) {
      String rack = step.spec.dataRack();
      Optional<Map<WorkerState, Integer>> found =
          fill(step, count, freeResources, onRack(fitting, rack));
      if (found.isPresent()
          || couldFitWhenIdle(step, count, onRack(freeResources.inListingOrder(step), rack))) {
        return found;
      }
    }
    if (step.spec.sameRack() && step.isGang()) {
      Optional<Map<WorkerState, Integer>> found =
          tightestRack(step, count, freeResources, byRack(fitting).values());
      if (found.isPresent() || (!anywhere && oneRackCouldFitWhenIdle(step, count, freeResources))) {
        return found;
      }
    }
    return fill(step, count, freeResources, fitting);
  }

  private static boolean oneRackCouldFitWhenIdle(
      StepInstance step, int count, FreeResources freeResources) {
    return byRack(freeResources.inListingOrder(step)).values().stream()
        .anyMatch(rack -> couldFitWhenIdle(step, count, rack));
  }

  /** Returns whether a number of tasks would fit on the workers if nothing else ran there. */
  static boolean couldFitWhenIdle(StepInstance step, int count, List<WorkerState> workers) {
    long places = 0;
    for (WorkerState worker : workers) {
      int most = ResourceMath.countFitting(step.spec.each(), worker.entry.capacity());
      places += step.spec.maxPerWorker() > 0 ? Math.min(most, step.spec.maxPerWorker()) : most;
    }
    return places >= count;
  }

  static Map<String, List<WorkerState>> byRack(List<WorkerState> workers) {
    return workers.stream()
        .collect(Collectors.groupingBy(WorkerState::rack, LinkedHashMap::new, Collectors.toList()));
  }

  private Optional<Map<WorkerState, Integer>> tightestRack(
      StepInstance step,
      int count,
      FreeResources freeResources,
      Collection<List<WorkerState>> racks) {
    Optional<Map<WorkerState, Integer>> best = Optional.empty();
    int leastPlaces = Integer.MAX_VALUE;
    for (List<WorkerState> rack : racks) {
      int places = rack.stream().mapToInt(worker -> freeResources.countFitting(step, worker)).sum();
      if (places >= count && places < leastPlaces) {
        leastPlaces = places;
        best = fill(step, count, freeResources, rack);
      }
    }
    return best;
  }

  private Optional<Map<WorkerState, Integer>> fill(
      StepInstance step, int count, FreeResources freeResources, List<WorkerState> workers) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    int left = count;
    // Exact fits come first: leaving no free accelerator on a worker avoids fragmentation.
    for (WorkerState worker : exactFitsFirst(step.spec.each(), workers, freeResources)) {
      int taken = Math.min(left, freeResources.countFitting(step, worker));
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

  private List<WorkerState> exactFitsFirst(
      Resources each, List<WorkerState> workers, FreeResources freeResources) {
    if (!fullestFirst || each.accelerators() == 0) {
      return workers;
    }
    return workers.stream()
        .sorted(
            (a, b) ->
                Integer.compare(
                    freeResources.free(a).accelerators() % each.accelerators(),
                    freeResources.free(b).accelerators() % each.accelerators()))
        .toList();
  }

  private static List<WorkerState> onRack(List<WorkerState> workers, String rack) {
    return workers.stream().filter(worker -> worker.rack().equals(rack)).toList();
  }
}
