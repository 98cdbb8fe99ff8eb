package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.TaskRecord.State;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Places tasks that may have crashed their workers on workers set aside for them, so that another
 * crash takes no other task along and shows which task is at fault. A worker is opened again when
 * the task has outlasted its runs that ended with a crash.
 */
final class SuspectPlacer {
  /** One worker may be set aside for each such number of workers in the pool. */
  private static final int WORKERS_PER_SUSPECT = 8;

  /** Time after which a task that got no empty worker is placed beside others again. */
  private static final long MAX_WAIT_MS = 8_000;

  private static final Comparator<Task> MOST_SUSPECT_FIRST =
      Comparator.comparingInt((Task task) -> -task.crashes.count)
          .thenComparingLong(task -> task.crashes.longestRunMs);

  private final SchedulerState state;
  private final StepPlacer placer;
  private final Map<Task, Long> waitingSinceMs = new HashMap<>();
  private final Map<Task, WorkerState> setAside = new LinkedHashMap<>();

  SuspectPlacer(SchedulerState state, StepPlacer placer) {
    this.state = state;
    this.placer = placer;
  }

  /** Opens workers that are not needed any more and sets others aside. */
  void beginRound(EventTime now) {
    setAside
        .entrySet()
        .removeIf(
            entry -> {
              boolean settled = isSettled(entry.getKey(), entry.getValue(), now);
              entry.getValue().setAside &= !settled;
              return settled;
            });
    state.suspects.removeIf(task -> !isStillSuspected(task, now));
    waitingSinceMs.keySet().retainAll(state.suspects);
    for (Task task : state.suspects.stream().sorted(MOST_SUSPECT_FIRST).toList()) {
      if (needsWorker(task, now)) {
        chooseWorker(task, now).ifPresent(worker -> setAside(task, worker));
      }
    }
  }

  private boolean isStillSuspected(Task task, EventTime now) {
    if (!task.crashes.isolated || task.state == State.DONE || task.step.job.phase.isFinal()) {
      return false;
    }
    if (!isDue(task, now)) {
      waitingSinceMs.remove(task);
    } else if (now.ms() - waitingSinceMs.computeIfAbsent(task, key -> now.ms()) > MAX_WAIT_MS) {
      task.crashes.isolated = false;
    }
    return task.crashes.isolated;
  }

  private static boolean isDue(Task task, EventTime now) {
    return task.isReady() && task.step.job.isDue(task.step, now.wallMs());
  }

  /** Places the tasks whose workers have become empty. */
  void place(PackingPolicy packing, FreeResources freeResources, EventTime now) {
    for (Task task : List.copyOf(setAside.keySet())) {
      if (task.step.isGang()) {
        placeGang(task.step, packing, freeResources, now);
      } else if (isReadyForPlacement(task, now)) {
        placer.place(task.step, List.of(task), Map.of(setAside.get(task), 1), now);
      }
    }
  }

  private void placeGang(
      StepInstance step, PackingPolicy packing, FreeResources freeResources, EventTime now) {
    List<Task> tasks = new ArrayList<>();
    Map<WorkerState, Integer> places = new LinkedHashMap<>();
    for (Task task : step.tasks) {
      if (task.crashes.isolated) {
        if (!isReadyForPlacement(task, now)) {
          return;
        }
        tasks.add(task);
        places.put(setAside.get(task), 1);
      }
    }
    List<Task> rest = step.tasks.stream().filter(task -> !task.crashes.isolated).toList();
    if (!rest.stream().allMatch(Task::isReady)) {
      return;
    }
    if (!rest.isEmpty()) {
      Optional<Map<WorkerState, Integer>> found =
          packing.find(step, rest.size(), freeResources, true);
      if (found.isEmpty()) {
        return;
      }
      tasks.addAll(rest);
      places.putAll(found.get());
    }
    placer.place(step, tasks, places, now);
  }

  private boolean isReadyForPlacement(Task task, EventTime now) {
    WorkerState worker = setAside.get(task);
    return worker != null
        && task.isReady()
        && worker.placements.isEmpty()
        && worker.isUsable(now.ms());
  }

  /** Returns whether a worker need not be set aside for a task any longer. */
  private static boolean isSettled(Task task, WorkerState worker, EventTime now) {
    Optional<Placement> run =
        task.placements.stream().filter(placement -> placement.worker == worker).findFirst();
    if (run.isEmpty()) {
      return !task.crashes.isolated
          || task.state != State.WAITING
          || task.step.job.phase.isFinal()
          || !worker.isUsable(now.ms());
    }
    Placement placement = run.get();
    boolean outlasted =
        placement.phase == Phase.RUNNING
            && worker.failedCalls == 0
            && now.ms() - placement.startedMs
                > task.crashes.longestRunMs + CrashTracker.AFTER_START_MS;
    task.crashes.isolated &= !outlasted;
    return outlasted;
  }

  private boolean needsWorker(Task task, EventTime now) {
    if (!isDue(task, now) || setAside.containsKey(task)) {
      return false;
    }
    long ofJob = setAside.keySet().stream().filter(other -> other.step == task.step).count();
    if (task.step.isGang() && ofJob > 0) {
      return true; // Its other suspects already occupy their workers.
    }
    return ofJob == 0 && setAside.size() < Math.max(1, state.workers.size() / WORKERS_PER_SUSPECT);
  }

  private Optional<WorkerState> chooseWorker(Task task, EventTime now) {
    return state.workers.values().stream()
        .filter(worker -> worker.isOpen(now.ms()) && FreeResources.mayRun(task.step, worker))
        .filter(
            worker -> ResourceMath.countFitting(task.step.spec.each(), worker.entry.capacity()) > 0)
        .min(
            Comparator.comparingInt((WorkerState worker) -> worker.placements.size())
                .thenComparing(WorkerState::id));
  }

  private void setAside(Task task, WorkerState worker) {
    worker.setAside = true;
    setAside.put(task, worker);
    state.logDecision(
        task.step.job.spec.id(),
        "set aside worker="
            + worker.id()
            + " step="
            + task.step.label()
            + " task="
            + task.name.index()
            + " crashes="
            + task.crashes.count
            + " runs="
            + worker.placements.size());
  }
}
