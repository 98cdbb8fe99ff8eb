package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Packs tasks on the fullest workers that take them, so that whole workers and racks stay free for
 * wide gangs. A step that is slower across racks, or away from its data, waits for the right rack
 * before it takes another.
 */
final class PackingPlacement {
  private final boolean fullestFirst;

  /**
   * Creates the policy.
   *
   * @param fullestFirst whether the fullest workers are filled first instead of the first in the
   *     list
   */
  PackingPlacement(boolean fullestFirst) {
    this.fullestFirst = fullestFirst;
  }

  /**
   * Finds places for a number of tasks of a step.
   *
   * @param step the step
   * @param count number of tasks
   * @param room what is free
   * @param anywhere whether a slower rack is better than further waiting
   * @return number of tasks by worker, or nothing if they do not all fit
   */
  Optional<Map<WorkerState, Integer>> find(StepRun step, int count, Room room, boolean anywhere) {
    if (!room.mayHold(step, count)) {
      return Optional.empty();
    }
    List<WorkerState> fitting = fullestFirst ? room.fitting(step) : room.inOrder(step);
    if (!step.spec.dataRack().isEmpty() && !anywhere) {
      String rack = step.spec.dataRack();
      Optional<Map<WorkerState, Integer>> found = fill(step, count, room, onRack(fitting, rack));
      if (found.isPresent() || couldHold(step, count, onRack(room.inOrder(step), rack))) {
        return found;
      }
    }
    if (step.spec.sameRack() && step.isGang()) {
      Optional<Map<WorkerState, Integer>> found =
          tightestRack(step, count, room, byRack(fitting).values());
      if (found.isPresent() || (!anywhere && oneRackCouldHold(step, count, room))) {
        return found;
      }
    }
    return fill(step, count, room, fitting);
  }

  private static boolean oneRackCouldHold(StepRun step, int count, Room room) {
    return byRack(room.inOrder(step)).values().stream()
        .anyMatch(rack -> couldHold(step, count, rack));
  }

  /** Returns whether the workers could hold a number of tasks if nothing else ran on them. */
  static boolean couldHold(StepRun step, int count, List<WorkerState> workers) {
    long places = 0;
    for (WorkerState worker : workers) {
      int most = Amounts.count(step.spec.each(), worker.entry.capacity());
      places += step.spec.maxPerWorker() > 0 ? Math.min(most, step.spec.maxPerWorker()) : most;
    }
    return places >= count;
  }

  static Map<String, List<WorkerState>> byRack(List<WorkerState> workers) {
    return workers.stream()
        .collect(Collectors.groupingBy(WorkerState::rack, LinkedHashMap::new, Collectors.toList()));
  }

  private Optional<Map<WorkerState, Integer>> tightestRack(
      StepRun step, int count, Room room, Collection<List<WorkerState>> racks) {
    Optional<Map<WorkerState, Integer>> best = Optional.empty();
    int leastPlaces = Integer.MAX_VALUE;
    for (List<WorkerState> rack : racks) {
      int places = rack.stream().mapToInt(worker -> room.count(step, worker)).sum();
      if (places >= count && places < leastPlaces) {
        leastPlaces = places;
        best = fill(step, count, room, rack);
      }
    }
    return best;
  }

  private Optional<Map<WorkerState, Integer>> fill(
      StepRun step, int count, Room room, List<WorkerState> workers) {
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    int left = count;
    // A worker that is left without a free accelerator is used first: it breaks up no larger room.
    for (WorkerState worker : exactFirst(step.spec.each(), workers, room)) {
      int taken = Math.min(left, room.count(step, worker));
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

  private List<WorkerState> exactFirst(Resources each, List<WorkerState> workers, Room room) {
    if (!fullestFirst || each.accelerators() == 0) {
      return workers;
    }
    return workers.stream()
        .sorted(
            (a, b) ->
                Integer.compare(
                    room.free(a).accelerators() % each.accelerators(),
                    room.free(b).accelerators() % each.accelerators()))
        .toList();
  }

  private static List<WorkerState> onRack(List<WorkerState> workers, String rack) {
    return workers.stream().filter(worker -> worker.rack().equals(rack)).toList();
  }
}
