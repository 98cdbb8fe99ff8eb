package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Free resources of the usable workers during one round of placement. */
final class Room {
  private final Map<WorkerState, Resources> free = new LinkedHashMap<>();

  Room(Collection<WorkerState> workers, long nowMs) {
    for (WorkerState worker : workers) {
      if (worker.isUsable(nowMs)) {
        free.put(worker, worker.free());
      }
    }
  }

  /** Returns the usable workers that may run a step, in the order in which they were listed. */
  List<WorkerState> inOrder(StepRun step) {
    List<WorkerState> result = new ArrayList<>();
    for (WorkerState worker : free.keySet()) {
      if (mayRun(step, worker)) {
        result.add(worker);
      }
    }
    return result;
  }

  /** Returns the usable workers that may run a step, fullest first, in a stable order. */
  List<WorkerState> candidates(StepRun step) {
    List<WorkerState> result = inOrder(step);
    result.sort(
        Comparator.comparingInt((WorkerState w) -> free(w).accelerators())
            .thenComparingInt(w -> free(w).millicores())
            .thenComparing(WorkerState::id));
    return result;
  }

  /** Returns whether the workers together have room for a number of tasks of a step. */
  boolean mayHold(StepRun step, int count) {
    int places = 0;
    for (Map.Entry<WorkerState, Resources> entry : free.entrySet()) {
      if (Amounts.fits(step.spec.each(), entry.getValue()) && mayRun(step, entry.getKey())) {
        places += Amounts.count(step.spec.each(), entry.getValue());
        if (places >= count) {
          return true;
        }
      }
    }
    return false;
  }

  Resources free(WorkerState worker) {
    return free.getOrDefault(worker, new Resources(0, 0, 0));
  }

  boolean isUsable(WorkerState worker) {
    return free.containsKey(worker);
  }

  void take(WorkerState worker, Resources size, int count) {
    free.computeIfPresent(worker, (key, room) -> Amounts.plus(room, size, -count));
  }

  /** Returns how many further tasks of a step a worker takes. */
  int count(StepRun step, WorkerState worker) {
    int count = Amounts.count(step.spec.each(), free(worker));
    if (step.spec.maxPerWorker() == 0) {
      return count;
    }
    long there = worker.placements.values().stream().filter(p -> p.task.step == step).count();
    return Math.max(0, (int) Math.min(count, step.spec.maxPerWorker() - there));
  }

  static boolean mayRun(StepRun step, WorkerState worker) {
    return worker.entry.service().equals(step.job.spec.service())
        && (step.spec.requiredLabel().isEmpty()
            || worker.entry.labels().contains(step.spec.requiredLabel()));
  }
}
