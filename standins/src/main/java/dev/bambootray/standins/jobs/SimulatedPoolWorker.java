package dev.bambootray.standins.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.ListedRun;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a worker of the platform without a real clock or socket, including leases, fencing,
 * delayed starts, gangs that wait for their members, and checkpoints.
 */
public final class SimulatedPoolWorker {
  /** Minimum duration of a stop, which the platform limits and lets vary between runs. */
  private static final long MIN_STOP_MS = 100;

  private static final long STOP_STEP_MS = 100;
  private static final int STOP_STEPS = 8;

  /** Time for which a member of a gang waits for the others on the platform. */
  private static final long GANG_WAIT_MS = 3_000;

  /** Work between two checkpoints on the platform. */
  private static final long CHECKPOINT_INTERVAL_MS = 500;

  /** Time to resume from a checkpoint on the platform. */
  private static final long RESUME_MS = 250;

  /** Number of ends that a list has space for on the platform. */
  static final int MAX_LISTED_ENDS = 500;

  /** Difference between the worker's clock and the owner's clock. */
  private static final long CLOCK_OFFSET_MS = 1_000_000;

  /** Tracks a run at the worker. */
  private static final class Run {
    private final RunName name;
    private final StepSpec step;
    private final double workMs;
    private final long startMs;
    private boolean working;
    private double doneMs;
    private long waitsUntilMs;
    private boolean fails;
    private boolean hangs;
    private long stopAtMs = Long.MAX_VALUE;

    private Run(RunName name, StepSpec step, double workMs, long startMs) {
      this.name = name;
      this.step = step;
      this.workMs = workMs;
      this.startMs = startMs;
    }

    private boolean isGang() {
      return step.gang() && step.count() > 1;
    }

    private int percent() {
      return (int) Math.min(99, doneMs * 100 / Math.max(1, workMs));
    }

    private String checkpoint() {
      long saves = step.checkpointing() ? (long) doneMs / CHECKPOINT_INTERVAL_MS : 0;
      return saves == 0 ? "" : String.valueOf(saves * CHECKPOINT_INTERVAL_MS);
    }
  }

  /** Provides what the workers of a pool share. */
  public interface Environment {

    /** Returns the step of a task. */
    StepSpec step(TaskName task);

    /** Returns the run time of a task on a healthy worker, in milliseconds. */
    long workMs(TaskName task);

    /** Returns whether a run fails for a reason other than the worker. */
    boolean fails(RunName run);

    /** Returns how many members of a run of a gang are running on any worker. */
    int presentGangMembers(RunName run);

    /** Returns the speed of a run on a worker relative to full speed. */
    double speed(RunName run, SimulatedPoolWorker worker);

    /** A run was started. */
    void onStart(SimulatedPoolWorker worker, RunName run);

    /** A run has ended and {@code unsavedMs} of its work is lost. */
    void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs);
  }

  /** Longest lease that the worker grants on the platform. */
  private static final long LEASE_LIMIT_MS = 10_000;

  private final WorkerEntry entry;
  private final Environment environment;
  private final long clockOffsetMs;
  private long connection;
  private final Map<RunName, Run> runs = new LinkedHashMap<>();
  private final List<RunEnd> ends = new ArrayList<>();
  private final Map<TaskName, Integer> highestSettledRun = new HashMap<>();
  private long nextEnd = 1;
  private long epoch;
  private long leaseUntilMs;
  private long lastLapsedEnd;
  private boolean failing;
  private boolean hanging;
  private boolean unreachable;
  private boolean gone;
  private @Nullable SimulatedPoolWorker replacement;

  /** Creates a worker that runs nothing. */
  public SimulatedPoolWorker(WorkerEntry entry, Environment pool) {
    this(entry, pool, CLOCK_OFFSET_MS, 1);
  }

  private SimulatedPoolWorker(
      WorkerEntry entry, Environment pool, long clockOffsetMs, long connection) {
    this.entry = entry;
    this.environment = pool;
    this.clockOffsetMs = clockOffsetMs;
    this.connection = connection;
  }

  /** Returns the worker after a restart under its identifier: it runs nothing, its clock is new. */
  public SimulatedPoolWorker restarted(long nowMs) {
    WorkerEntry next =
        new WorkerEntry(
            entry.id(),
            entry.service(),
            entry.address(),
            entry.zone(),
            entry.rack(),
            entry.labels(),
            entry.capacity(),
            entry.bornMs() + nowMs,
            false);
    return new SimulatedPoolWorker(next, environment, -nowMs, connection + 1);
  }

  /** Returns its entry in the registry. */
  public WorkerEntry entry() {
    return entry;
  }

  /** Returns the identity of the connection to it; each process of a worker has another one. */
  long connection() {
    return connection;
  }

  /** Closes its idle connection; the next call is sent on another one. */
  void closeConnection() {
    connection++;
  }

  /** Returns the names of its runs. */
  public Collection<RunName> runs() {
    return Collections.unmodifiableSet(runs.keySet());
  }

  /** Sets whether all runs started from now on fail. */
  public void setFailing(boolean value) {
    failing = value;
  }

  /** Returns whether all runs started now fail. */
  public boolean isFailing() {
    return failing;
  }

  /** Sets whether runs started from now on make no progress. */
  public void setHanging(boolean value) {
    hanging = value;
  }

  /** Returns whether runs started now make no progress. */
  public boolean isHanging() {
    return hanging;
  }

  /** Sets whether the worker is unreachable. */
  public void setUnreachable(boolean value) {
    unreachable = value;
  }

  /** Returns whether the worker is unreachable, although its runs may continue. */
  public boolean isUnreachable() {
    return unreachable;
  }

  /** Returns whether the worker was terminated. */
  public boolean isGone() {
    return gone;
  }

  /** Sets the worker that answers at its address after its end. */
  void setReplacement(SimulatedPoolWorker value) {
    replacement = value;
  }

  /** Returns the worker that answers at its address after its end. */
  Optional<SimulatedPoolWorker> replacement() {
    return Optional.ofNullable(replacement);
  }

  /** Converts a virtual time to the clock of a worker that has not restarted. */
  public static long clock(long nowMs) {
    return nowMs + CLOCK_OFFSET_MS;
  }

  private long clockMs(long nowMs) {
    return nowMs + clockOffsetMs;
  }

  private void extendLease(long untilMs, long nowMs) {
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs(nowMs) + LEASE_LIMIT_MS));
  }

  /** Carries out a start order. */
  public StartReply start(
      RunName run, long untilMs, String checkpoint, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return new StartReply.Refused(Reason.FENCED);
    }
    epoch = orderEpoch;
    if (runs.containsKey(run)) {
      return new StartReply.Started(clockMs(nowMs));
    }
    if (highestSettledRun.getOrDefault(run.task(), 0) >= run.run()) {
      return new StartReply.Refused(Reason.OLD_RUN);
    }
    if (untilMs <= clockMs(nowMs)) {
      return new StartReply.Refused(Reason.EXPIRED);
    }
    StepSpec step = environment.step(run.task());
    if (!fits(step.each(), free())) {
      return new StartReply.Refused(Reason.NO_ROOM);
    }
    extendLease(untilMs, nowMs);
    Run started = new Run(run, step, environment.workMs(run.task()), nowMs);
    started.fails = failing || environment.fails(run);
    started.hangs = hanging;
    started.working = !started.isGang();
    if (!checkpoint.isEmpty()) {
      started.doneMs = Long.parseLong(checkpoint);
      started.waitsUntilMs = nowMs + RESUME_MS;
    }
    runs.put(run, started);
    environment.onStart(this, run);
    return new StartReply.Started(clockMs(nowMs));
  }

  /** Carries out a stop order and returns whether it was accepted. */
  public boolean stop(RunName run, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return false;
    }
    epoch = orderEpoch;
    highestSettledRun.merge(run.task(), run.run(), Math::max);
    Run running = runs.get(run);
    if (running != null) {
      long stopMs = MIN_STOP_MS + STOP_STEP_MS * (run.task().index() % STOP_STEPS);
      running.stopAtMs = Math.min(running.stopAtMs, nowMs + stopMs);
    }
    return true;
  }

  /** Extends the lease, discards acknowledged ends and lists runs and ends. */
  public HoldReply hold(long acknowledged, long untilMs, long orderEpoch, long nowMs) {
    if (orderEpoch < epoch) {
      return new HoldReply.Fenced();
    }
    epoch = orderEpoch;
    extendLease(untilMs, nowMs);
    ends.removeIf(end -> end.number() <= acknowledged);
    List<ListedRun> running = new ArrayList<>();
    for (Run run : runs.values()) {
      running.add(new ListedRun(run.name, run.checkpoint(), run.percent()));
    }
    boolean cutOff = ends.size() >= MAX_LISTED_ENDS;
    List<RunEnd> listed = ends.stream().limit(MAX_LISTED_ENDS).toList();
    return new HoldReply.Listed(
        clockMs(nowMs), entry.bornMs(), connection, running, listed, cutOff);
  }

  /**
   * Returns the ends that an acknowledgement makes final. By the platform's rules an end is not
   * final if the worker's lease has expired between the end and its acknowledgement: the owner
   * could not know of the end and may have started the task again.
   */
  public List<RunEnd> acknowledged(long number) {
    return ends.stream()
        .filter(end -> end.number() <= number && end.number() > lastLapsedEnd)
        .toList();
  }

  /** Advances the virtual time. */
  public void advance(long fromMs, long toMs) {
    if (clockMs(toMs) > leaseUntilMs) {
      lastLapsedEnd = nextEnd - 1;
    }
    for (Run run : List.copyOf(runs.values())) {
      if (clockMs(toMs) > leaseUntilMs) {
        end(run, Cause.LAPSED);
      } else if (toMs >= run.stopAtMs) {
        end(run, Cause.STOPPED);
      } else if (!run.working) {
        waitForGang(run, toMs);
      } else if (!run.hangs && toMs > run.waitsUntilMs) {
        work(run, toMs - fromMs);
      }
    }
  }

  private void waitForGang(Run run, long nowMs) {
    if (environment.presentGangMembers(run.name) >= run.step.count()) {
      run.working = true;
    } else if (nowMs - run.startMs > GANG_WAIT_MS) {
      end(run, Cause.ALONE);
    }
  }

  private void work(Run run, long forMs) {
    run.doneMs += forMs * environment.speed(run.name, this);
    if (run.doneMs >= run.workMs) {
      end(run, run.fails ? Cause.FAILED : Cause.DONE);
    }
  }

  private void end(Run run, Cause cause) {
    runs.remove(run.name);
    highestSettledRun.merge(run.name.task(), run.name.run(), Math::max);
    String checkpoint = cause == Cause.STOPPED && run.step.checkpointing() ? saved(run) : "";
    RunEnd end = new RunEnd(nextEnd++, run.name, cause, checkpoint);
    ends.add(end);
    environment.onEnd(this, end, checkpoint.isEmpty() ? run.doneMs : 0);
  }

  /** Returns the checkpoint of a stopped run, which contains all its progress. */
  private static String saved(Run run) {
    return run.doneMs < 1 ? "" : String.valueOf((long) run.doneMs);
  }

  /** Ends its members of a gang of which another member was lost. */
  void endGangOf(RunName lost) {
    for (Run run : List.copyOf(runs.values())) {
      TaskName task = run.name.task();
      if (run.isGang()
          && run.name.run() == lost.run()
          && task.job().equals(lost.task().job())
          && task.occurrence() == lost.task().occurrence()
          && task.step() == lost.task().step()) {
        end(run, Cause.BROKEN);
      }
    }
  }

  /** Terminates the worker without reporting ends, like a VM that is removed. */
  public void terminate() {
    gone = true;
    runs.clear();
    ends.clear();
  }

  /** Returns the resources that no run uses. */
  public Resources free() {
    int accelerators = entry.capacity().accelerators();
    int millicores = entry.capacity().millicores();
    int memoryMib = entry.capacity().memoryMib();
    for (Run run : runs.values()) {
      accelerators -= run.step.each().accelerators();
      millicores -= run.step.each().millicores();
      memoryMib -= run.step.each().memoryMib();
    }
    return new Resources(accelerators, millicores, memoryMib);
  }

  private static boolean fits(Resources size, Resources available) {
    return size.accelerators() <= available.accelerators()
        && size.millicores() <= available.millicores()
        && size.memoryMib() <= available.memoryMib();
  }
}
