package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.jobs.worker.RunningTask;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/** A worker in the memory of a test, with the behaviour that the platform describes. */
final class FakeWorker {
  /** The platform bounds the time that a stop takes and lets it differ between runs. */
  private static final long SHORTEST_STOP_MS = 100;

  private static final long STOP_STEP_MS = 100;
  private static final int STOP_STEPS = 8;
  private static final long GANG_WAIT_MS = 3_000;

  /** A run at the worker. */
  static final class Run {
    final RunName name;
    final StepRunSize size;
    final long startMs;
    final boolean gang;
    boolean working;
    long workLeftMs;
    boolean fails;
    boolean hangs;
    long stopAtMs = Long.MAX_VALUE;

    Run(RunName name, StepRunSize size, long startMs, boolean gang, long workMs) {
      this.name = name;
      this.size = size;
      this.startMs = startMs;
      this.gang = gang;
      workLeftMs = workMs;
      working = !gang;
    }
  }

  /** What a test knows of a task: its resources and its true work. */
  record StepRunSize(Resources each, int gangSize, long workMs, boolean poison, long stepWorkMs) {}

  final WorkerEntry entry;
  final Map<RunName, Run> runs = new LinkedHashMap<>();
  final List<RunEnd> ends = new ArrayList<>();
  private final Map<TaskName, Integer> settled = new HashMap<>();
  private final Pool pool;
  private long nextEnd = 1;
  private long epoch;
  private long leaseUntilMs;
  private long lapsedBefore;
  boolean failsAll;
  boolean hangsAll;
  boolean cut;
  boolean gone;

  /** What the workers of a test share. */
  interface Pool {
    StepRunSize size(TaskName task);

    void onStart(FakeWorker worker, RunName run);

    void onEnd(FakeWorker worker, RunEnd end);
  }

  FakeWorker(String id, String rack, Resources capacity, Pool pool) {
    this.pool = pool;
    entry =
        new WorkerEntry(
            id, "s", "10.0.0.1:80", "z", rack, Set.of("kind", rack), capacity, 1, false);
  }

  /** The worker's clock differs from the owner's. */
  long clock(long nowMs) {
    return nowMs + 1_000_000;
  }

  StartReply start(RunName run, long untilMs, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return new StartReply.Refused(Reason.FENCED);
    }
    epoch = orderEpoch;
    if (runs.containsKey(run)) {
      return new StartReply.Started(clock(nowMs));
    }
    if (settled.getOrDefault(run.task(), 0) >= run.run()) {
      return new StartReply.Refused(Reason.OLD_RUN);
    }
    if (untilMs <= clock(nowMs)) {
      return new StartReply.Refused(Reason.EXPIRED);
    }
    StepRunSize size = pool.size(run.task());
    if (!Amounts.fits(size.each(), free())) {
      return new StartReply.Refused(Reason.NO_ROOM);
    }
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    Run started = new Run(run, size, nowMs, size.gangSize() > 1, size.workMs());
    started.fails = failsAll || size.poison();
    started.hangs = hangsAll;
    runs.put(run, started);
    pool.onStart(this, run);
    return new StartReply.Started(clock(nowMs));
  }

  boolean stop(RunName run, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return false;
    }
    epoch = orderEpoch;
    settled.merge(run.task(), run.run(), Math::max);
    Run running = runs.get(run);
    if (running != null) {
      long stopMs = SHORTEST_STOP_MS + STOP_STEP_MS * (run.task().index() % STOP_STEPS);
      running.stopAtMs = Math.min(running.stopAtMs, nowMs + stopMs);
    }
    return true;
  }

  HoldReply hold(long acknowledged, long untilMs, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return new HoldReply.Fenced();
    }
    epoch = orderEpoch;
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    ends.removeIf(end -> end.number() <= acknowledged);
    List<RunningTask> running = new ArrayList<>();
    for (Run run : runs.values()) {
      long whole = Math.max(1, run.size.workMs());
      running.add(
          new RunningTask(run.name, "", (int) Math.min(99, 100 - run.workLeftMs * 100 / whole)));
    }
    return new HoldReply.Listed(clock(nowMs), entry.bornMs(), running, List.copyOf(ends));
  }

  /**
   * Returns the ends that an acknowledgement covers and that stand for good. By the platform's
   * rules an end does not stand if the worker's lease has run out between it and its
   * acknowledgement: the owner could not know of it and may have started the task again.
   */
  List<RunEnd> acknowledged(long number) {
    return ends.stream()
        .filter(end -> end.number() <= number && end.number() > lapsedBefore)
        .toList();
  }

  /** Lets time pass; {@code present} counts the members of a gang's run that are at any worker. */
  void advance(long fromMs, long toMs, ToIntFunction<RunName> present) {
    if (clock(toMs) > leaseUntilMs) {
      lapsedBefore = nextEnd - 1;
    }
    for (Run run : List.copyOf(runs.values())) {
      if (clock(toMs) > leaseUntilMs) {
        end(run, Cause.LAPSED);
      } else if (toMs >= run.stopAtMs) {
        end(run, Cause.STOPPED);
      } else if (run.gang && !run.working) {
        if (present.applyAsInt(run.name) >= run.size.gangSize()) {
          run.working = true;
        } else if (toMs - run.startMs > GANG_WAIT_MS) {
          end(run, Cause.ALONE);
        }
      } else if (!run.hangs) {
        run.workLeftMs -= toMs - fromMs;
        if (run.workLeftMs <= 0) {
          end(run, run.fails ? Cause.FAILED : Cause.DONE);
        }
      }
    }
  }

  void end(Run run, Cause cause) {
    runs.remove(run.name);
    settled.merge(run.name.task(), run.name.run(), Math::max);
    RunEnd end = new RunEnd(nextEnd++, run.name, cause, "");
    ends.add(end);
    pool.onEnd(this, end);
  }

  /** Ends everything without a trace, as a VM that is taken away does. */
  void vanish() {
    gone = true;
    runs.clear();
    ends.clear();
  }

  Resources free() {
    Resources free = entry.capacity();
    for (Run run : runs.values()) {
      free = Amounts.plus(free, run.size.each(), -1);
    }
    return free;
  }
}
