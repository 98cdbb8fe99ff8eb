package dev.bambootray.bench.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.QueuedJob;
import dev.bambootray.core.scheduling.RegionScheduler;
import dev.bambootray.core.scheduling.SchedulerEffect;
import dev.bambootray.core.scheduling.SchedulerEvent;
import dev.bambootray.core.scheduling.SchedulingPolicies;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/**
 * Replays a trace against a scheduler in the order of its arrivals, endings and faults.
 *
 * <p>Workers answer after fixed delays; a task ends when the run time of its job is over.
 */
final class Replay {
  private static final long TICK_MS = 250;
  private static final long REPLY_MS = 2;
  private static final long CONFIRM_MS = 5;
  private static final long STOP_MS = 50;
  private static final long CHECKPOINT_MS = 500;
  private static final long FAIL_MS = 2_000;

  /** A replay that has not drained by then is stopped; what is left counts as not completed. */
  private static final long MOST_HORIZONS = 8;

  /** Worker that fails every task for a while. */
  private static final WorkerId FAILING = WorkerId.of("r1w3");

  private static final String LOST_RACK = "r2w";

  private final Declaration declaration;
  private final Trace trace;
  private final RegionScheduler scheduler;
  private final ReplayMeasures measures;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
  private final Map<RequestKey, ReplayJob> jobs = new LinkedHashMap<>();
  private final Map<TaskId, ReplayTask> tasks = new LinkedHashMap<>();
  private long nowMs;
  private long order;
  private boolean rackLost;

  Replay(Declaration declaration, Trace trace, SchedulingPolicies policies, long seed) {
    this.declaration = declaration;
    this.trace = trace;
    this.scheduler =
        RegionScheduler.builder()
            .region(Deployment.REGION)
            .declaration(declaration)
            .owner(NodeId.of("bench"))
            .epoch(1)
            .random(RandomSource.SPLIT_MIX_64.create(seed))
            .policies(policies)
            .build();
    this.measures = new ReplayMeasures(declaration, scheduler, trace.horizonMs);
  }

  /** Replays the whole trace and returns what was measured. */
  ReplayMeasures run() {
    for (WorkerId worker : new TreeSet<>(declaration.workers().keySet())) {
      send(new SchedulerEvent.WorkerJoined(worker));
    }
    send(new SchedulerEvent.AdoptionCompleted());
    trace.arrivals.forEach(arrival -> at(arrival.atMs(), () -> submit(arrival)));
    at(trace.rackLostAtMs, () -> loseRack(true));
    at(trace.rackBackAtMs, () -> loseRack(false));
    at(TICK_MS, this::tick);
    while (!due.isEmpty()) {
      Due next = due.poll();
      nowMs = next.atMs();
      next.action().run();
    }
    measures.finish(jobs.values());
    return measures;
  }

  private void at(long atMs, Runnable action) {
    due.add(new Due(atMs, order++, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  private void tick() {
    send(new SchedulerEvent.Tick());
    measures.sample(jobs.values(), tasks.values(), rackLost, nowMs);
    boolean open = jobs.values().stream().anyMatch(job -> !job.answered);
    if (nowMs < trace.horizonMs || (open && nowMs < MOST_HORIZONS * trace.horizonMs)) {
      after(TICK_MS, this::tick);
    }
  }

  private void submit(Arrival arrival) {
    TemplateDeclaration template = declaration.templates().get(arrival.template());
    if (template == null) {
      throw new IllegalStateException("no template " + arrival.template());
    }
    ReplayJob job = new ReplayJob(arrival, template);
    jobs.put(arrival.key(), job);
    measures.submitted(job, jobs.values());
    if (arrival.cancelAtMs() >= 0) {
      at(
          arrival.cancelAtMs(),
          () -> send(new SchedulerEvent.JobsCancelled(List.of(arrival.key()))));
    }
    RequestSpec spec =
        new RequestSpec(
            arrival.key(),
            arrival.template(),
            "{}",
            Long.MAX_VALUE,
            template.repeatable(),
            arrival.urgent(),
            nowMs,
            "");
    send(new SchedulerEvent.JobSubmitted(new QueuedJob(spec, template, null)));
  }

  private void loseRack(boolean lost) {
    rackLost = lost;
    for (WorkerId worker : new TreeSet<>(declaration.workers().keySet())) {
      if (!worker.value().startsWith(LOST_RACK)) {
        continue;
      }
      if (lost) {
        for (ReplayTask task : List.copyOf(tasks.values())) {
          if (task.worker.equals(worker)) {
            task.job.disturbed(task.id.attempt());
            end(task);
          }
        }
        send(new SchedulerEvent.WorkerLost(worker));
      } else {
        send(new SchedulerEvent.WorkerJoined(worker));
      }
    }
  }

  private void send(SchedulerEvent event) {
    for (SchedulerEffect effect : scheduler.handle(event, nowMs)) {
      if (effect instanceof SchedulerEffect.ReserveMember e) {
        after(REPLY_MS, () -> reserve(e));
      } else if (effect instanceof SchedulerEffect.AttemptReserved e) {
        after(CONFIRM_MS, () -> send(new SchedulerEvent.AttemptConfirmed(e.attempt())));
      } else if (effect instanceof SchedulerEffect.StartMember e) {
        after(REPLY_MS, () -> start(e));
      } else if (effect instanceof SchedulerEffect.ReleaseMember e) {
        after(STOP_MS, () -> stop(e.task(), null));
      } else if (effect instanceof SchedulerEffect.StopTask e) {
        after(STOP_MS, () -> stop(e.task(), null));
      } else if (effect instanceof SchedulerEffect.CheckpointTask e) {
        after(CHECKPOINT_MS, () -> stop(e.task(), "checkpoint"));
      } else if (effect instanceof SchedulerEffect.JobStarted e) {
        job(e.key()).started(nowMs);
      } else if (effect instanceof SchedulerEffect.JobCompleted e) {
        job(e.key()).answer(nowMs, true);
      } else if (effect instanceof SchedulerEffect.JobFailed e) {
        job(e.key()).answer(nowMs, false);
      } else {
        measures.observe(effect);
      }
    }
  }

  private ReplayJob job(RequestKey key) {
    ReplayJob job = jobs.get(key);
    if (job == null) {
      throw new IllegalStateException("effect for unknown job " + key);
    }
    return job;
  }

  private void reserve(SchedulerEffect.ReserveMember effect) {
    if (rackLost && effect.worker().value().startsWith(LOST_RACK)) {
      send(new SchedulerEvent.MemberRefused(effect.task(), RefusalReason.NOT_ADOPTED));
      return;
    }
    ReplayTask task = new ReplayTask(effect, job(effect.key()));
    measures.granted(task, tasks.values());
    tasks.put(effect.task(), task);
    send(new SchedulerEvent.MemberReserved(effect.task()));
  }

  private void start(SchedulerEffect.StartMember effect) {
    ReplayTask task = tasks.get(effect.task());
    if (task == null) {
      send(new SchedulerEvent.MemberRefused(effect.task(), RefusalReason.UNKNOWN_TASK));
      return;
    }
    task.running = true;
    task.startedAtMs = nowMs;
    task.job.memberStarted(effect.task().attempt(), nowMs);
    send(new SchedulerEvent.MemberStarted(effect.task()));
    boolean failing =
        task.worker.equals(FAILING) && nowMs >= trace.failingFromMs && nowMs < trace.failingToMs;
    if (failing) {
      after(FAIL_MS, () -> fail(task));
    } else {
      after(Math.max(1, task.job.remainingMs()), () -> finish(task));
    }
  }

  private void finish(ReplayTask task) {
    if (tasks.containsKey(task.id)) {
      end(task);
      send(new SchedulerEvent.TaskFinished(task.id, "{}"));
    }
  }

  private void fail(ReplayTask task) {
    if (tasks.containsKey(task.id)) {
      task.job.disturbed(task.id.attempt());
      end(task);
      send(new SchedulerEvent.TaskFailed(task.id, "the worker fails every task"));
    }
  }

  private void stop(TaskId id, @Nullable String checkpoint) {
    ReplayTask task = tasks.get(id);
    if (task == null) {
      return;
    }
    end(task);
    if (task.running) {
      measures.stopped(task, checkpoint != null, nowMs);
    }
    if (checkpoint != null) {
      task.job.checkpointed(id.attempt(), nowMs - task.startedAtMs);
      send(new SchedulerEvent.TaskCheckpointed(id, checkpoint));
    } else {
      send(new SchedulerEvent.TaskStopped(id));
    }
  }

  private void end(ReplayTask task) {
    tasks.remove(task.id);
    task.job.memberEnded(task.id.attempt(), nowMs);
  }

  List<RequestKey> unanswered() {
    List<RequestKey> keys = new ArrayList<>();
    jobs.forEach(
        (key, job) -> {
          if (!job.answered) {
            keys.add(key);
          }
        });
    return keys;
  }

  private record Due(long atMs, long order, Runnable action) {}

  /** One task on a worker. */
  static final class ReplayTask {
    final TaskId id;
    final ReplayJob job;
    final WorkerId worker;
    final long mask;
    boolean running;
    long startedAtMs;

    ReplayTask(SchedulerEffect.ReserveMember effect, ReplayJob job) {
      this.id = effect.task();
      this.job = job;
      this.worker = effect.worker();
      int accelerators = effect.resources().accelerators();
      this.mask = ((1L << accelerators) - 1) << effect.firstAccelerator();
    }

    AttemptToken attempt() {
      return id.attempt();
    }
  }
}
