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
final class FreeResources {
  /** Orders workers by free resources, fullest first; ties are resolved by identifier. */
  private static final Comparator<UsableWorker> FULLEST_FIRST =
      Comparator.comparingInt((UsableWorker slot) -> slot.free.accelerators())
          .thenComparingInt(slot -> slot.free.millicores())
          .thenComparing(slot -> slot.worker.id());

  /** A usable worker; its free resources change only while it is not in the sorted set. */
  private static final class UsableWorker {
    private final WorkerState worker;
    private Resources free;
    private long round;

    private UsableWorker(WorkerState worker) {
      this.worker = worker;
      free = worker.free();
    }
  }

  private final Map<WorkerState, UsableWorker> usable = new HashMap<>();
  private final NavigableSet<UsableWorker> byFree = new TreeSet<>(FULLEST_FIRST);
  private Collection<WorkerState> inListingOrder = List.of();
  private long round;

  /** Begins a round with the current free resources, discarding allocations of the last round. */
  void update(Collection<WorkerState> all, long nowMs) {
    round++;
    inListingOrder = all;
    List<WorkerState> open = all.stream().filter(worker -> worker.isOpen(nowMs)).toList();
    // A worker that was dropped and is listed again has an equal position in the sorted set as its
    // former self, so that one has to be removed first.
    removeAllBut(open);
    for (WorkerState worker : open) {
      UsableWorker slot = usable.get(worker);
      if (slot == null) {
        slot = new UsableWorker(worker);
        usable.put(worker, slot);
        insert(slot);
      } else if (!slot.free.equals(worker.free())) {
        setFree(slot, worker.free());
      }
      slot.round = round;
    }
  }

  private void removeAllBut(List<WorkerState> open) {
    for (WorkerState worker : open) {
      UsableWorker slot = usable.get(worker);
      if (slot != null) {
        slot.round = round;
      }
    }
    usable.values().removeIf(slot -> slot.round != round && remove(slot));
  }

  /** Returns the usable workers that may run a step, in the order in which they were listed. */
  List<WorkerState> inListingOrder(StepInstance step) {
    List<WorkerState> result = new ArrayList<>();
    for (WorkerState worker : inListingOrder) {
      if (usable.containsKey(worker) && mayRun(step, worker)) {
        result.add(worker);
      }
    }
    return result;
  }

  /** Returns the usable workers that may run a step, fullest first. */
  List<WorkerState> candidates(StepInstance step) {
    List<WorkerState> result = new ArrayList<>(byFree.size());
    for (UsableWorker slot : byFree) {
      if (mayRun(step, slot.worker)) {
        result.add(slot.worker);
      }
    }
    return result;
  }

  /** Returns the {@link #candidates} that have enough free resources for a task of a step. */
  List<WorkerState> fitting(StepInstance step) {
    List<WorkerState> result = new ArrayList<>();
    for (UsableWorker slot : byFree.descendingSet()) {
      if (isTooSmall(slot, step)) {
        break;
      }
      if (mayRun(step, slot.worker) && countFitting(step, slot.worker) > 0) {
        result.add(slot.worker);
      }
    }
    Collections.reverse(result);
    return result;
  }

  /** Returns whether a number of tasks of a step fits on all workers together. */
  boolean canFit(StepInstance step, int count) {
    int places = 0;
    for (UsableWorker slot : byFree.descendingSet()) {
      if (isTooSmall(slot, step)) {
        return false;
      }
      if (mayRun(step, slot.worker)) {
        places += ResourceMath.countFitting(step.spec.each(), slot.free);
        if (places >= count) {
          return true;
        }
      }
    }
    return false;
  }

  Resources free(WorkerState worker) {
    UsableWorker slot = usable.get(worker);
    return slot == null ? new Resources(0, 0, 0) : slot.free;
  }

  boolean isUsable(WorkerState worker) {
    return usable.containsKey(worker);
  }

  /** Subtracts the resources of a number of tasks; a negative number adds them back. */
  void allocate(WorkerState worker, Resources size, int count) {
    UsableWorker slot = usable.get(worker);
    if (slot != null) {
      setFree(slot, ResourceMath.plus(slot.free, size, -count));
    }
  }

  /** Returns how many more tasks of a step fit on a worker. */
  int countFitting(StepInstance step, WorkerState worker) {
    int count = ResourceMath.countFitting(step.spec.each(), free(worker));
    return Math.max(0, Math.min(count, remainingTasks(step, worker)));
  }

  /** Returns how many more tasks of a step may run on a worker beside those that it has. */
  static int remainingTasks(StepInstance step, WorkerState worker) {
    if (step.spec.maxPerWorker() == 0) {
      return Integer.MAX_VALUE;
    }
    long present = worker.placements.values().stream().filter(p -> p.task.step == step).count();
    return (int) (step.spec.maxPerWorker() - present);
  }

  static boolean mayRun(StepInstance step, WorkerState worker) {
    return worker.entry.service().equals(step.job.spec.service())
        && (step.spec.requiredLabel().isEmpty()
            || worker.entry.labels().contains(step.spec.requiredLabel()));
  }

  /**
   * Returns whether a worker, and thus every fuller one, lacks accelerators for one task of a step.
   * Free resources may be negative while more is reserved for a step than has become free.
   */
  private static boolean isTooSmall(UsableWorker slot, StepInstance step) {
    int needed = step.spec.each().accelerators();
    return needed > 0 && slot.free.accelerators() < needed;
  }

  private void setFree(UsableWorker slot, Resources free) {
    remove(slot);
    slot.free = free;
    insert(slot);
  }

  private void insert(UsableWorker slot) {
    if (!byFree.add(slot)) {
      throw new IllegalStateException("the index has another worker " + slot.worker.id());
    }
  }

  private boolean remove(UsableWorker slot) {
    if (!byFree.remove(slot)) {
      throw new IllegalStateException("the index lacks worker " + slot.worker.id());
    }
    return true;
  }
}
