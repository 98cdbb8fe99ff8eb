package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Indexes the usable workers by their free resources.
 *
 * <p>The index persists between rounds of placement, and {@link #update} moves only workers whose
 * free resources have changed. A step is compared only with workers that have enough free
 * accelerators for one of its tasks, which are few while the pool is full.
 */
final class Room {
  /** Orders workers by free resources, fullest first; ties are resolved by identifier. */
  private static final Comparator<Slot> FULLEST_FIRST =
      Comparator.comparingInt((Slot slot) -> slot.free.accelerators())
          .thenComparingInt(slot -> slot.free.millicores())
          .thenComparing(slot -> slot.worker.id());

  /** A usable worker; its free resources change only while it is not in the sorted set. */
  private static final class Slot {
    private final WorkerState worker;
    private Resources free;
    private long round;

    private Slot(WorkerState worker) {
      this.worker = worker;
      free = worker.free();
    }
  }

  private final Map<WorkerState, Slot> slots = new HashMap<>();
  private final NavigableSet<Slot> byFree = new TreeSet<>(FULLEST_FIRST);
  private Collection<WorkerState> inOrder = List.of();
  private long round;

  /** Begins a round with the current free resources, discarding allocations of the last round. */
  void update(Collection<WorkerState> all, long nowMs) {
    round++;
    inOrder = all;
    for (WorkerState worker : all) {
      if (worker.isUsable(nowMs)) {
        Slot slot = slots.get(worker);
        if (slot == null) {
          slot = new Slot(worker);
          slots.put(worker, slot);
          byFree.add(slot);
        } else if (!slot.free.equals(worker.free())) {
          move(slot, worker.free());
        }
        slot.round = round;
      }
    }
    slots
        .values()
        .removeIf(
            slot -> {
              boolean unusable = slot.round != round;
              if (unusable) {
                byFree.remove(slot);
              }
              return unusable;
            });
  }

  /** Returns the usable workers that may run a step, in the order in which they were listed. */
  List<WorkerState> inOrder(StepRun step) {
    List<WorkerState> result = new ArrayList<>();
    for (WorkerState worker : inOrder) {
      if (slots.containsKey(worker) && mayRun(step, worker)) {
        result.add(worker);
      }
    }
    return result;
  }

  /** Returns the usable workers that may run a step, fullest first. */
  List<WorkerState> candidates(StepRun step) {
    List<WorkerState> result = new ArrayList<>(byFree.size());
    for (Slot slot : byFree) {
      if (mayRun(step, slot.worker)) {
        result.add(slot.worker);
      }
    }
    return result;
  }

  /** Returns the {@link #candidates} that have enough free resources for a task of a step. */
  List<WorkerState> fitting(StepRun step) {
    List<WorkerState> result = new ArrayList<>();
    for (Slot slot : byFree.descendingSet()) {
      if (isTooSmall(slot, step)) {
        break;
      }
      if (mayRun(step, slot.worker) && count(step, slot.worker) > 0) {
        result.add(slot.worker);
      }
    }
    Collections.reverse(result);
    return result;
  }

  /** Returns whether a number of tasks of a step fits on all workers together. */
  boolean mayHold(StepRun step, int count) {
    int places = 0;
    for (Slot slot : byFree.descendingSet()) {
      if (isTooSmall(slot, step)) {
        return false;
      }
      if (mayRun(step, slot.worker)) {
        places += Amounts.count(step.spec.each(), slot.free);
        if (places >= count) {
          return true;
        }
      }
    }
    return false;
  }

  Resources free(WorkerState worker) {
    Slot slot = slots.get(worker);
    return slot == null ? new Resources(0, 0, 0) : slot.free;
  }

  boolean isUsable(WorkerState worker) {
    return slots.containsKey(worker);
  }

  /** Subtracts the resources of a number of tasks; a negative number adds them back. */
  void take(WorkerState worker, Resources size, int count) {
    Slot slot = slots.get(worker);
    if (slot != null) {
      move(slot, Amounts.plus(slot.free, size, -count));
    }
  }

  /** Returns how many more tasks of a step fit on a worker. */
  int count(StepRun step, WorkerState worker) {
    int count = Amounts.count(step.spec.each(), free(worker));
    if (step.spec.maxPerWorker() == 0) {
      return count;
    }
    long present = worker.placements.values().stream().filter(p -> p.task.step == step).count();
    return Math.max(0, (int) Math.min(count, step.spec.maxPerWorker() - present));
  }

  static boolean mayRun(StepRun step, WorkerState worker) {
    return worker.entry.service().equals(step.job.spec.service())
        && (step.spec.requiredLabel().isEmpty()
            || worker.entry.labels().contains(step.spec.requiredLabel()));
  }

  /**
   * Returns whether a worker, and thus every fuller one, lacks accelerators for one task of a step.
   * Free resources may be negative while more is reserved for a step than has become free.
   */
  private static boolean isTooSmall(Slot slot, StepRun step) {
    int needed = step.spec.each().accelerators();
    return needed > 0 && slot.free.accelerators() < needed;
  }

  private void move(Slot slot, Resources free) {
    byFree.remove(slot);
    slot.free = free;
    byFree.add(slot);
  }
}
