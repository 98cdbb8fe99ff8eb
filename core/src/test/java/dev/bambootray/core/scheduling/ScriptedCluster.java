package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Carries out the effects of a scheduler and answers them as workers would, except for the faults
 * that a test injects.
 */
final class ScriptedCluster {
  /** A task that a worker holds according to the commands that it received. */
  record Held(RequestKey key, WorkerId worker, int first, int accelerators, boolean running) {}

  final RegionScheduler scheduler;
  final List<SchedulerEffect> effects = new ArrayList<>();
  final Map<TaskId, Held> held = new LinkedHashMap<>();
  final Set<WorkerId> unresponsiveOnReserve = new HashSet<>();
  final Set<WorkerId> unresponsiveOnStart = new HashSet<>();
  final Set<WorkerId> refusing = new HashSet<>();
  Runnable afterEach = () -> {};
  boolean confirming = true;
  boolean checkpointing = true;
  long nowMs = 1_000;
  private final Deque<SchedulerEvent> answers = new ArrayDeque<>();

  ScriptedCluster(RegionScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sends an event and then all answers to the resulting effects. */
  void send(SchedulerEvent event) {
    answers.add(event);
    while (!answers.isEmpty()) {
      SchedulerEvent next = answers.poll();
      for (SchedulerEffect effect : scheduler.handle(next, nowMs)) {
        effects.add(effect);
        answer(effect);
      }
      afterEach.run();
    }
  }

  /** Advances the time in steps of 100 ms with a tick each. */
  void pass(long ms) {
    for (long end = nowMs + ms; nowMs < end; ) {
      nowMs += 100;
      send(new SchedulerEvent.Tick());
    }
  }

  void submit(QueuedJob job) {
    send(new SchedulerEvent.JobSubmitted(job));
    pass(100);
  }

  private void answer(SchedulerEffect effect) {
    if (effect instanceof SchedulerEffect.ReserveMember e) {
      if (refusing.contains(e.worker())) {
        answers.add(new SchedulerEvent.MemberRefused(e.task(), RefusalReason.NO_CAPACITY));
      } else if (!unresponsiveOnReserve.contains(e.worker())) {
        held.put(
            e.task(),
            new Held(
                e.key(), e.worker(), e.firstAccelerator(), e.resources().accelerators(), false));
        answers.add(new SchedulerEvent.MemberReserved(e.task()));
      }
    } else if (effect instanceof SchedulerEffect.AttemptReserved e && confirming) {
      answers.add(new SchedulerEvent.AttemptConfirmed(e.attempt()));
    } else if (effect instanceof SchedulerEffect.StartMember e) {
      if (!unresponsiveOnStart.contains(e.worker())) {
        held.computeIfPresent(
            e.task(), (t, h) -> new Held(h.key, h.worker, h.first, h.accelerators, true));
        answers.add(new SchedulerEvent.MemberStarted(e.task()));
      }
    } else if (effect instanceof SchedulerEffect.ReleaseMember e) {
      stop(e.task());
    } else if (effect instanceof SchedulerEffect.StopTask e) {
      stop(e.task());
    } else if (effect instanceof SchedulerEffect.CheckpointTask e && checkpointing) {
      if (held.remove(e.task()) != null) {
        answers.add(new SchedulerEvent.TaskCheckpointed(e.task(), "cp" + e.task().member()));
      }
    }
  }

  private void stop(TaskId task) {
    held.remove(task);
    answers.add(new SchedulerEvent.TaskStopped(task));
  }

  /** Ends every member of a job with a result. */
  void finish(RequestKey key) {
    for (TaskId task : tasksOf(key)) {
      held.remove(task);
      send(new SchedulerEvent.TaskFinished(task, "{}"));
    }
    pass(100);
  }

  void loseWorker(WorkerId worker) {
    held.values().removeIf(h -> h.worker().equals(worker));
    send(new SchedulerEvent.WorkerLost(worker));
    pass(100);
  }

  List<TaskId> tasksOf(RequestKey key) {
    return held.entrySet().stream()
        .filter(e -> e.getValue().key().equals(key))
        .map(Map.Entry::getKey)
        .toList();
  }

  long running(RequestKey key) {
    return held.values().stream().filter(h -> h.key().equals(key) && h.running()).count();
  }

  <T extends SchedulerEffect> List<T> effects(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }
}
