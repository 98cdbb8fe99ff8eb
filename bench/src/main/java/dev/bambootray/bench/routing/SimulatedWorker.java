package dev.bambootray.bench.routing;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Answers the commands that reach one worker, after the delays of its network. */
final class SimulatedWorker {
  private static final long FAILURE_US = 1_000;

  /** Time after which a connection to a lost worker fails. */
  private static final long CONNECT_TIMEOUT_US = 500_000;

  /** Connections that one owner may hold: 8 for slots, 1 for events, 1 for probes. */
  private static final int MAX_CONNECTIONS = 10;

  private static final class Task {
    final RequestKey key;
    final long startedUs;
    long endsUs;
    TaskPhase phase = TaskPhase.RUNNING;

    Task(RequestKey key, long startedUs) {
      this.key = key;
      this.startedUs = startedUs;
    }
  }

  private final int target;
  private final Topology topology;
  private final EventLoop loop;
  private final Tally tally;
  private final Consumer<RouterEvent> owner;
  private final Map<TaskId, Task> tasks = new HashMap<>();
  private int running;
  private int runConnections;
  private int probeConnections;

  SimulatedWorker(
      int target, Topology topology, EventLoop loop, Tally tally, Consumer<RouterEvent> owner) {
    this.target = target;
    this.topology = topology;
    this.loop = loop;
    this.tally = tally;
    this.owner = owner;
  }

  void run(RequestKey key, TaskId task, Workload.Arrival arrival) {
    runConnections++;
    checkConnections();
    loop.after(Topology.LOCAL_US, () -> start(key, task, arrival));
  }

  void cancel(TaskId task) {
    loop.after(
        Topology.LOCAL_US,
        () -> {
          if (!isLost() && tasks.containsKey(task)) {
            end(task, TaskPhase.STOPPED, new RouterEvent.RunFailed(task, "stopped"));
          }
        });
  }

  void queryFate(TaskId task, long waitMs) {
    probeConnections++;
    checkConnections();
    loop.after(
        Topology.LOCAL_US,
        () -> {
          Task known = tasks.get(task);
          if (isLost()) {
            probeReply(CONNECT_TIMEOUT_US, new RouterEvent.RunStatusUnavailable(task, "timeout"));
          } else if (known != null && known.phase == TaskPhase.RUNNING && waitMs > 0) {
            long leftUs = Math.min(waitMs * 1_000, known.endsUs - loop.nowUs() + 1);
            loop.after(leftUs, () -> tellFate(task));
          } else {
            tellFate(task);
          }
        });
  }

  void probe() {
    probeConnections++;
    checkConnections();
    if (isLost()) {
      probeReply(CONNECT_TIMEOUT_US, new RouterEvent.ProbeMissed(BenchDeclaration.worker(target)));
    } else {
      probeReply(
          2 * Topology.LOCAL_US, new RouterEvent.ProbeAnswered(BenchDeclaration.worker(target)));
    }
  }

  void closeConnection() {
    runConnections--;
  }

  private boolean isLost() {
    return topology.isLost(target, loop.nowUs());
  }

  private void checkConnections() {
    if (runConnections + probeConnections + 1 > MAX_CONNECTIONS) {
      tally.connectionExcess++;
    }
  }

  private void start(RequestKey key, TaskId task, Workload.Arrival arrival) {
    if (isLost()) {
      return;
    }
    if (running >= Topology.SLOTS) {
      tally.slotExcess++;
      reply(new RouterEvent.RunRefused(task, RefusalReason.NO_CAPACITY));
      return;
    }
    running++;
    tally.runStarted(arrival.index());
    Task started = new Task(key, loop.nowUs());
    tasks.put(task, started);
    boolean failing = topology.isFailing(target);
    long runUs = failing ? FAILURE_US : topology.runUs(target, arrival.serviceUs(), loop.nowUs());
    started.endsUs = loop.nowUs() + runUs;
    loop.after(
        runUs,
        () ->
            end(
                task,
                failing ? TaskPhase.FAILED : TaskPhase.FINISHED,
                failing
                    ? new RouterEvent.RunFailed(task, "failed")
                    : new RouterEvent.RunAnswered(task, "1")));
  }

  private void end(TaskId task, TaskPhase phase, RouterEvent reply) {
    Task ended = tasks.get(task);
    if (isLost() || ended == null || ended.phase != TaskPhase.RUNNING) {
      return;
    }
    ended.phase = phase;
    ended.endsUs = loop.nowUs();
    running--;
    reply(reply);
  }

  private void reply(RouterEvent event) {
    loop.after(
        Topology.LOCAL_US,
        () -> {
          runConnections--;
          owner.accept(event);
        });
  }

  private void tellFate(TaskId task) {
    Task known = tasks.get(task);
    TaskSnapshot snapshot =
        new TaskSnapshot(
            task,
            known == null ? RequestKey.of("unknown", "unknown") : known.key,
            BenchDeclaration.TEMPLATE.id(),
            1,
            0,
            new Resources(0, 0, 0),
            known == null ? TaskPhase.UNKNOWN : known.phase,
            "1",
            known == null ? 0 : (Math.min(loop.nowUs(), known.endsUs) - known.startedUs) / 1_000);
    probeReply(Topology.LOCAL_US, new RouterEvent.RunStatusReceived(snapshot));
  }

  private void probeReply(long delayUs, RouterEvent event) {
    loop.after(
        delayUs,
        () -> {
          probeConnections--;
          owner.accept(event);
        });
  }
}
