package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.TaskRecord.State;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Counts the crashes of workers for the tasks that ran there, and gives up the job of a task that
 * crashes its workers.
 *
 * <p>All tasks of a crashed worker are suspected, but a job is given up early only after a crash of
 * a worker that ran no other job. If several workers are lost at the same time, a task that ran on
 * only one of them is not suspected.
 */
final class CrashTracker {
  /** Crashes after which a job is given up if the last worker ran nothing else. */
  private static final int CRASH_LIMIT = 3;

  /** The same for a task that had started only just before its worker crashed. */
  private static final int EARLY_CRASH_LIMIT = 2;

  /**
   * Crashes after which a job is given up in any case. The platform allows two starts of a task
   * after three workers have crashed under it.
   */
  private static final int MAX_CRASHES = 5;

  /** A run is suspected first if its worker crashes within this time from its start. */
  static final long AFTER_START_MS = 1_000;

  /** Workers that are lost within this time of each other are lost together. */
  private static final long TOGETHER_MS = 500;

  /** Number of other workers lost at the same time from which on the cause is a common one. */
  private static final int MANY_WORKERS = 3;

  /** Time for which crashes are remembered; the owner learns of a crash within seconds. */
  private static final long RETENTION_MS = 20_000;

  /**
   * A crash of a worker.
   *
   * @param jobs jobs that had runs on the worker
   */
  private record Crash(String worker, long atMs, Set<String> jobs) {}

  private final SchedulerState state;
  private final RunTracker runs;
  private final Deque<Crash> crashes = new ArrayDeque<>();

  CrashTracker(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /**
   * Handles the crash of a worker.
   *
   * @param worker the worker
   * @param lost runs that it had, which have been ended
   * @param now time at which the owner learned of the crash
   */
  void onCrashed(WorkerState worker, List<Placement> lost, EventTime now) {
    boolean leaves = worker.entry.draining() || worker.drainedBeforeRestart;
    if (lost.isEmpty() || leaves) {
      return; // Its end was planned.
    }
    long atMs = worker.silentSinceMs >= 0 ? worker.silentSinceMs : now.ms();
    Crash crash = new Crash(worker.id(), atMs, jobs(lost));
    crashes.removeIf(old -> now.ms() - old.atMs() > RETENTION_MS);
    crashes.add(crash);
    Map<String, Set<String>> others = lostTogetherWith(crash);
    for (Placement placement : lost) {
      if (mayHaveCrashed(placement)) {
        suspect(placement, crash, others, now);
      }
    }
  }

  private static boolean mayHaveCrashed(Placement placement) {
    return placement.mayHaveRun()
        && !placement.crashCounted
        && placement.task.run == placement.run.run()
        && placement.task.state != State.DONE
        && !placement.task.step.job.phase.isFinal();
  }

  private void suspect(
      Placement placement, Crash crash, Map<String, Set<String>> others, EventTime now) {
    placement.crashCounted = true;
    Task task = placement.task;
    Job job = task.step.job;
    long unrelated = others.values().stream().filter(jobs -> !jobs.contains(job.spec.id())).count();
    if (unrelated >= MANY_WORKERS) {
      return;
    }
    boolean startKnown = placement.phase != Phase.ADOPTING;
    long runMs = startKnown ? Math.max(0, crash.atMs() - placement.startedMs) : 0;
    boolean afterStart = startKnown && runMs <= AFTER_START_MS;
    task.crashes.add(runMs, afterStart);
    state.batches.markChanged(job);
    if (task.crashes.isolated) {
      state.suspects.add(task);
    }
    state.logDecision(
        job.spec.id(),
        "crashed run="
            + RunTracker.runLabel(placement)
            + " worker="
            + crash.worker()
            + " crashes="
            + task.crashes.count
            + " run_ms="
            + runMs
            + " jobs="
            + crash.jobs().size()
            + " lost_together="
            + others.size()
            + " isolated="
            + task.crashes.isolated);
    int limit = afterStart ? EARLY_CRASH_LIMIT : CRASH_LIMIT;
    boolean alone = crash.jobs().size() == 1 && others.size() < MANY_WORKERS;
    if ((alone && task.crashes.count >= limit) || task.crashes.count >= MAX_CRASHES) {
      runs.endJob(job, JobPhase.FAILED, now);
    }
  }

  /** Returns the other workers lost at about the time of a crash, each with its jobs. */
  private Map<String, Set<String>> lostTogetherWith(Crash crash) {
    Map<String, Set<String>> others = new HashMap<>();
    for (WorkerState worker : state.workers.values()) {
      if (worker.failedCalls > 0
          && !worker.placements.isEmpty()
          && Math.abs(worker.silentSinceMs - crash.atMs()) <= TOGETHER_MS) {
        others.put(worker.id(), jobs(worker.placements.values()));
      }
    }
    for (Crash other : crashes) {
      if (Math.abs(other.atMs() - crash.atMs()) <= TOGETHER_MS) {
        others.put(other.worker(), other.jobs());
      }
    }
    others.remove(crash.worker());
    return others;
  }

  private static Set<String> jobs(Collection<Placement> placements) {
    return placements.stream()
        .map(placement -> placement.run.task().job())
        .collect(Collectors.toSet());
  }
}
