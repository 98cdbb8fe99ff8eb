package dev.bambootray.daemon.rig;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerEvent;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** An in-memory worker agent that fences commands by epoch and records every run. */
public final class FakeWorker {
  private static final int SLOTS = 8;

  private final WorkerId id;
  private final SimulatedCluster cluster;
  private final long startedAtMs;
  private final Map<TaskId, TaskSnapshot> tasks = new LinkedHashMap<>();
  private final Map<TaskId, List<Consumer<WorkerReply>>> waiters = new LinkedHashMap<>();
  private final Set<TaskId> fenced = new HashSet<>();
  private final List<WorkerEvent> events = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();
  private long highestEpoch;
  private boolean dead;
  private boolean leaving;
  private boolean failing;
  private int peakSlots;

  FakeWorker(WorkerId id, SimulatedCluster rig) {
    this.id = id;
    this.cluster = rig;
    startedAtMs = rig.nowMs();
  }

  /** A run that began on this worker. */
  public record Start(RequestKey key, TaskId task, long atMs) {}

  public List<Start> starts() {
    return starts;
  }

  public int peakSlots() {
    return peakSlots;
  }

  public long highestEpoch() {
    return highestEpoch;
  }

  public void die() {
    dead = true;
  }

  public void setLeaving(boolean value) {
    leaving = value;
  }

  public void setFailing(boolean value) {
    failing = value;
  }

  public long heldAccelerators() {
    return tasks.values().stream()
        .filter(task -> task.phase() == TaskPhase.RESERVED || task.phase() == TaskPhase.RUNNING)
        .mapToLong(task -> task.resources().accelerators())
        .sum();
  }

  /**
   * Carries out a command and replies at once or later.
   *
   * <p>A dead worker refuses the connection, and leaves calls from before its death unanswered.
   */
  void handle(WorkerCommand command, Consumer<WorkerReply> reply) {
    if (dead) {
      reply.accept(
          new WorkerReply.NotSent(
              RequestError.notRun(RequestStep.DISPATCH, id.value(), "connection refused", 1_000)));
      return;
    }
    long epoch = command.ownership().epoch();
    if (epoch < highestEpoch) {
      reply.accept(new WorkerReply.Refused(RefusalReason.STALE_EPOCH, highestEpoch));
    } else if (command instanceof WorkerCommand.Adopt) {
      highestEpoch = epoch;
      reply.accept(
          new WorkerReply.Adopted(
              List.copyOf(tasks.values()), events.size(), leaving, cluster.nowMs() - startedAtMs));
    } else if (epoch > highestEpoch) {
      reply.accept(new WorkerReply.Refused(RefusalReason.NOT_ADOPTED, highestEpoch));
    } else {
      carryOut(command, reply);
    }
  }

  private void carryOut(WorkerCommand command, Consumer<WorkerReply> reply) {
    if (command instanceof WorkerCommand.Reserve reserve) {
      reserve(reserve, reply);
    } else if (command instanceof WorkerCommand.Start start) {
      start(start, reply);
    } else if (command instanceof WorkerCommand.Run run) {
      run(run, reply);
    } else if (command instanceof WorkerCommand.Stop stop) {
      stop(stop.task());
      reply.accept(new WorkerReply.Done());
    } else if (command instanceof WorkerCommand.Acknowledge acknowledge) {
      acknowledge.tasks().stream().filter(this::isEnded).forEach(tasks::remove);
      reply.accept(new WorkerReply.Done());
    } else if (command instanceof WorkerCommand.QueryTask query) {
      query(query, reply);
    } else if (command instanceof WorkerCommand.PollEvents poll) {
      poll(poll, reply);
    } else {
      reply.accept(new WorkerReply.Done());
    }
  }

  private void reserve(WorkerCommand.Reserve reserve, Consumer<WorkerReply> reply) {
    if (leaving || fenced.contains(reserve.task())) {
      reply.accept(refused(leaving ? RefusalReason.LEAVING : RefusalReason.UNKNOWN_TASK));
      return;
    }
    put(
        new TaskSnapshot(
            reserve.task(),
            reserve.key(),
            reserve.template(),
            reserve.members(),
            reserve.firstAccelerator(),
            reserve.resources(),
            TaskPhase.RESERVED,
            null,
            0));
    reply.accept(new WorkerReply.Done());
  }

  private void start(WorkerCommand.Start start, Consumer<WorkerReply> reply) {
    TaskSnapshot task = tasks.get(start.task());
    if (task == null) {
      reply.accept(refused(RefusalReason.UNKNOWN_TASK));
      return;
    }
    begin(task, start.parametersJson());
    reply.accept(new WorkerReply.Done());
  }

  private void run(WorkerCommand.Run run, Consumer<WorkerReply> reply) {
    if (leaving || fenced.contains(run.task())) {
      reply.accept(refused(leaving ? RefusalReason.LEAVING : RefusalReason.UNKNOWN_TASK));
      return;
    }
    long busy =
        tasks.values().stream()
            .filter(t -> t.phase() == TaskPhase.RUNNING && t.resources().accelerators() == 0)
            .count();
    if (busy >= SLOTS) {
      reply.accept(refused(RefusalReason.NO_CAPACITY));
      return;
    }
    peakSlots = Math.max(peakSlots, (int) busy + 1);
    begin(snapshot(run.task(), run.key(), run.template(), TaskPhase.RUNNING), run.parametersJson());
    awaitEnd(run.task(), reply);
  }

  private void begin(TaskSnapshot task, String parametersJson) {
    starts.add(new Start(task.key(), task.task(), cluster.nowMs()));
    change(task, TaskPhase.RUNNING, null);
    cluster.after(runMs(parametersJson), () -> end(task.task()));
  }

  private void end(TaskId id) {
    TaskSnapshot task = tasks.get(id);
    if (!dead && task != null && task.phase() == TaskPhase.RUNNING) {
      change(
          task,
          failing ? TaskPhase.FAILED : TaskPhase.FINISHED,
          failing ? "the worker fails every task" : "{\"key\":\"" + task.key() + "\"}");
    }
  }

  private void stop(TaskId id) {
    TaskSnapshot task = tasks.get(id);
    if (task == null) {
      fenced.add(id);
    } else if (task.phase() == TaskPhase.RESERVED) {
      fenced.add(id);
      tasks.remove(id);
    } else if (task.phase() == TaskPhase.RUNNING) {
      change(task, TaskPhase.STOPPED, "stopped by command");
    }
  }

  private void query(WorkerCommand.QueryTask query, Consumer<WorkerReply> reply) {
    TaskSnapshot task = tasks.get(query.task());
    if (task == null) {
      fenced.add(query.task());
      RequestKey unknown = RequestKey.of("unknown", "unknown");
      reply.accept(
          new WorkerReply.TaskState(
              snapshot(query.task(), unknown, TemplateId.of("unknown"), TaskPhase.UNKNOWN)));
    } else if (isEnded(query.task()) || query.waitMs() == 0) {
      reply.accept(new WorkerReply.TaskState(task));
    } else {
      awaitEnd(query.task(), reply);
    }
  }

  private void poll(WorkerCommand.PollEvents poll, Consumer<WorkerReply> reply) {
    List<WorkerEvent> newer =
        events.stream().filter(event -> event.sequence() > poll.afterSequence()).toList();
    if (!newer.isEmpty()) {
      reply.accept(new WorkerReply.Events(newer, List.of(), leaving));
      return;
    }
    long waitMs = Math.min(poll.waitMs(), 100);
    cluster.after(
        waitMs,
        () -> {
          if (poll.waitMs() > waitMs && !leaving) {
            handle(
                new WorkerCommand.PollEvents(
                    poll.ownership(), poll.afterSequence(), poll.waitMs() - waitMs, poll.leaseMs()),
                reply);
          } else if (!dead) {
            reply.accept(new WorkerReply.Events(List.of(), List.of(), leaving));
          }
        });
  }

  private void awaitEnd(TaskId id, Consumer<WorkerReply> reply) {
    waiters.computeIfAbsent(id, ignored -> new ArrayList<>()).add(reply);
  }

  private void change(TaskSnapshot task, TaskPhase phase, String detail) {
    TaskSnapshot changed =
        new TaskSnapshot(
            task.task(),
            task.key(),
            task.template(),
            task.members(),
            task.firstAccelerator(),
            task.resources(),
            phase,
            detail,
            0);
    put(changed);
    if (task.resources().accelerators() > 0) {
      events.add(new WorkerEvent(events.size() + 1, changed));
    }
    if (isEnded(task.task())) {
      List<Consumer<WorkerReply>> waiting = waiters.remove(task.task());
      if (waiting != null) {
        waiting.forEach(reply -> reply.accept(new WorkerReply.TaskState(changed)));
      }
    }
  }

  private void put(TaskSnapshot task) {
    tasks.put(task.task(), task);
  }

  private boolean isEnded(TaskId id) {
    TaskSnapshot task = tasks.get(id);
    return task != null && task.phase() != TaskPhase.RUNNING && task.phase() != TaskPhase.RESERVED;
  }

  private WorkerReply refused(RefusalReason reason) {
    return new WorkerReply.Refused(reason, highestEpoch);
  }

  private static TaskSnapshot snapshot(
      TaskId task, RequestKey key, TemplateId template, TaskPhase phase) {
    return new TaskSnapshot(task, key, template, 1, 0, new Resources(0, 0, 0), phase, null, 0);
  }

  private static long runMs(String parametersJson) {
    return Long.parseLong(parametersJson.replaceAll("\\D", ""));
  }
}
