package dev.bambootray.standins.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.scheduling.EventTime;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.scheduling.JobScheduler;
import dev.bambootray.jobs.scheduling.SchedulerTimes;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Runs a scheduler against simulated workers and a simulated store in virtual time.
 *
 * <p>The simulation is deterministic for a seed and a sequence of calls. An {@link Observer} can
 * check or measure it.
 */
public final class PoolSimulation implements SimulatedPoolWorker.Environment {
  private static final long TIME_STEP_MS = 10;
  private static final long TICK_MS = 50;
  private static final long LEASE_LIMIT_MS = 10_000;

  /** Wall-clock time at the start of the simulation, in milliseconds since the epoch. */
  private static final long WALL_OFFSET_MS = 1_700_000_000_000L;

  /** Receives the events of the simulation. */
  public interface Observer {

    /** The owner has sent a start order. */
    default void onStartOrdered(JobEffect.StartRun start) {}

    /** A worker has started a run. */
    default void onStart(SimulatedPoolWorker worker, RunName run) {}

    /** A run has ended at its worker. */
    default void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs) {}

    /** An end was acknowledged to its worker and is final. */
    default void onAcknowledged(RunEnd end) {}

    /** A worker refused a run because it lacks free resources. */
    default void onNoRoom(SimulatedPoolWorker worker, RunName run) {}

    /** The scheduler has handled an event, which took the given real time. */
    default void onHandled(long nanos) {}

    /** A job reached a final phase. */
    default void onFinal(String job, JobPhase phase) {}
  }

  private final Observer observer;
  private final SchedulingPolicy policy;
  private final EventQueue queue = new EventQueue();
  private final GangMemberCounter gangs = new GangMemberCounter();
  private final SimulatedTransport transport;
  private final WorkerCrashes crashes;
  private final Map<String, SimulatedPoolWorker> workers = new LinkedHashMap<>();
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  private final Map<String, SimulatedWork> work = new HashMap<>();
  private final SimulatedStore store = new SimulatedStore();
  private final List<String> decisions = new ArrayList<>();
  private JobDeclaration declaration = new JobDeclaration(1, List.of(), Map.of(), List.of(), 1_000);
  private @Nullable JobScheduler scheduler;
  private long nowMs = 1_000;
  private long epoch;
  private long disturbedUntilMs = Long.MIN_VALUE / 2;

  /** Creates a pool without workers. */
  public PoolSimulation(long seed, SchedulingPolicy policy, Observer observer) {
    this.policy = policy;
    this.observer = observer;
    transport = new SimulatedTransport(seed, workers, this, observer);
    crashes = new WorkerCrashes(this);
  }

  /** Adds workers with consecutive names, which are listed from the next takeover on. */
  public void addWorkers(int count, int perRack, Resources capacity, double speed) {
    for (int i = 0; i < count; i++) {
      String id = "w" + workers.size();
      String rack = "rack" + workers.size() / perRack;
      WorkerEntry entry = WorkerEntries.idle(id, domainOf(rack), rack, capacity);
      speeds.set(id, speed);
      add(new SimulatedPoolWorker(entry, this));
    }
  }

  /** Adds or replaces a worker without listing it. */
  void add(SimulatedPoolWorker worker) {
    workers.put(worker.entry().id(), worker);
  }

  /** Returns the failure domain of a rack; each rack has its own. */
  public static String domainOf(String rack) {
    return "domain of " + rack;
  }

  /** Closes failure domains and opens all others. */
  public void closeDomains(Set<String> domains) {
    declaration = declaration.withClosedDomains(domains);
    recordDisturbance(0);
    post(new JobEvent.DeclarationChanged(declaration));
  }

  /** Returns the declaration in force. */
  public JobDeclaration declaration() {
    return declaration;
  }

  /** Sets the declaration that the next owner reads. */
  public void declare(JobDeclaration value) {
    declaration = value;
  }

  /** Replaces the owner by a new one, which reads the state in the store. */
  public void takeOver() {
    if (scheduler != null) {
      recordDisturbance(0);
    }
    epoch++;
    scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(LEASE_LIMIT_MS), policy);
    post(new JobEvent.DeclarationConfirmed(nowMs));
    post(
        new JobEvent.TookOver(
            declaration,
            List.copyOf(jobs.values()),
            store.records(),
            store.cancelled(),
            crashes.listed()));
  }

  /** Accepts a job. */
  public void submit(JobSpec job, SimulatedWork jobWork) {
    jobs.put(job.id(), job);
    work.put(job.id(), jobWork);
    post(new JobEvent.Accepted(job));
  }

  /** Cancels a job. */
  public void cancel(String job) {
    store.cancel(job);
    post(new JobEvent.CancelRequested(job));
  }

  /** Stores the cancellation of a job without an event to the owner. */
  public void cancelWithoutEvent(String job) {
    store.cancel(job);
  }

  /** Terminates a worker and removes it from the registry immediately. */
  public void remove(String id) {
    worker(id).terminate();
    recordDisturbance(0);
    post(new JobEvent.WorkerUnlisted(id));
  }

  /**
   * Restarts a worker under its identifier; what it ran is lost.
   *
   * @param id the worker
   * @param downMs time until it starts again
   * @param registeredAfterMs time from its start until the owner learns of its new entry
   */
  public void restart(String id, long downMs, long registeredAfterMs) {
    recordDisturbance(downMs + registeredAfterMs);
    crashes.restart(worker(id), downMs, registeredAfterMs);
  }

  /** Returns how workers crash. */
  WorkerCrashes crashes() {
    return crashes;
  }

  /** Marks a worker as draining; its runs continue. */
  public void drain(String id) {
    recordDisturbance(0);
    post(new JobEvent.WorkerListed(WorkerEntries.draining(worker(id).entry())));
  }

  /** Returns what delivers the owner's calls, to disturb single ones. */
  SimulatedTransport transport() {
    return transport;
  }

  /** Makes the store unavailable for a duration. */
  public void makeStoreUnavailable(long forMs) {
    store.makeUnavailableUntil(nowMs + forMs);
    recordDisturbance(forMs);
  }

  /** Sets the time that the store takes for a transaction from now on. */
  public void setCommitMs(long value) {
    store.setCommitMs(value);
  }

  /** Advances the virtual time. */
  public void run(long forMs) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      long from = nowMs;
      nowMs += TIME_STEP_MS;
      for (SimulatedPoolWorker worker : workers.values()) {
        worker.advance(from, nowMs);
      }
      queue.runUntil(nowMs);
      if (nowMs % TICK_MS == 0) {
        post(new JobEvent.Tick());
      }
    }
  }

  /** Returns the virtual time. */
  public long nowMs() {
    return nowMs;
  }

  /** Returns the virtual wall-clock time. */
  public long wallMs() {
    return WALL_OFFSET_MS + nowMs;
  }

  /** Converts a wall-clock time to virtual time. */
  public static long fromWallMs(long wallMs) {
    return wallMs - WALL_OFFSET_MS;
  }

  /** Returns the time of the last lost call or call to an unreachable worker. */
  public long lastFaultMs() {
    return transport.lastFaultMs();
  }

  /** Returns when the last disturbance that was brought about on purpose ends or has ended. */
  public long disturbedUntilMs() {
    return disturbedUntilMs;
  }

  void recordDisturbance(long forMs) {
    disturbedUntilMs = Math.max(disturbedUntilMs, nowMs + forMs);
  }

  /** Returns all workers, including terminated ones. */
  public Collection<SimulatedPoolWorker> workers() {
    return workers.values();
  }

  /** Returns a worker. */
  public SimulatedPoolWorker worker(String id) {
    return Objects.requireNonNull(workers.get(id), () -> "no worker " + id);
  }

  /** Returns the accepted jobs. */
  public Collection<JobSpec> jobs() {
    return jobs.values();
  }

  /** Returns an accepted job. */
  public JobSpec job(String id) {
    return Objects.requireNonNull(jobs.get(id), () -> "job was not submitted: " + id);
  }

  /** Returns the phase of a job in the store. */
  public JobPhase phase(String job) {
    return store.phase(job);
  }

  /** Returns the logged decisions so far, each with its time and subject. */
  public List<String> decisions() {
    return decisions;
  }

  /** Returns the state of workers and unfinished steps, for assertion messages. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    workers.forEach(
        (id, worker) ->
            text.append(id)
                .append(worker.isGone() ? " gone" : "")
                .append(worker.isUnreachable() ? " cut" : "")
                .append(" ")
                .append(worker.runs())
                .append("\n"));
    return text.append(owner().describe()).toString();
  }

  private JobScheduler owner() {
    return Objects.requireNonNull(scheduler, "no owner yet");
  }

  void post(JobEvent event) {
    long startNanos = System.nanoTime();
    List<JobEffect> effects = owner().handle(event, new EventTime(nowMs, wallMs()));
    observer.onHandled(System.nanoTime() - startNanos);
    effects.forEach(this::carryOut);
  }

  void schedule(long delayMs, Runnable action) {
    queue.add(nowMs + delayMs, action);
  }

  /** Delivers an answer unless the owner that sent the call was replaced. */
  private void answer(long sentEpoch, JobEvent event) {
    if (sentEpoch == epoch) {
      post(event);
    }
  }

  private void carryOut(JobEffect effect) {
    long sentEpoch = epoch;
    if (effect instanceof JobEffect.Persist persist) {
      schedule(store.commitMs(nowMs), () -> persist(persist, sentEpoch));
    } else if (effect instanceof JobEffect.RemoveJobRows removal) {
      schedule(
          SimulatedStore.COMMIT_MS,
          () -> answer(sentEpoch, new JobEvent.JobRowsRemoved(removal.job())));
    } else if (effect instanceof JobEffect.StartRun start) {
      observer.onStartOrdered(start);
      transport.start(start, sentEpoch, event -> answer(sentEpoch, event));
    } else if (effect instanceof JobEffect.StopRun stop) {
      transport.stop(stop, sentEpoch, event -> answer(sentEpoch, event));
    } else if (effect instanceof JobEffect.HoldWorker hold) {
      transport.hold(hold, sentEpoch, event -> answer(sentEpoch, event));
    } else if (effect instanceof JobEffect.Decided decided) {
      decisions.add(nowMs + " " + decided.subject() + " " + decided.text());
    }
  }

  private void persist(JobEffect.Persist persist, long sentEpoch) {
    if (sentEpoch != epoch) {
      return;
    }
    for (JobRecord saved : persist.records()) {
      if (store.put(saved)) {
        observer.onFinal(saved.job(), saved.phase());
      }
    }
    answer(sentEpoch, new JobEvent.Durable(persist.batch()));
  }

  @Override
  public StepSpec step(TaskName task) {
    return job(task.job()).steps().get(task.step());
  }

  @Override
  public long workMs(TaskName task) {
    return workOf(task).workMs(task.step(), task.index());
  }

  @Override
  public boolean fails(RunName run) {
    return workOf(run.task()).fails(run.task().step(), run.task().index(), run.run());
  }

  private SimulatedWork workOf(TaskName task) {
    return Objects.requireNonNull(work.get(task.job()), () -> "no simulated work for " + task);
  }

  @Override
  public int presentGangMembers(RunName run) {
    return gangs.members(run);
  }

  @Override
  public double speed(RunName run, SimulatedPoolWorker worker) {
    return speeds.of(step(run.task()), worker.entry(), gangs.spansRacks(run));
  }

  @Override
  public void onStart(SimulatedPoolWorker worker, RunName run) {
    gangs.add(run, worker.entry().rack());
    observer.onStart(worker, run);
    if (workOf(run.task()).crashesWorker(run.task().step(), run.task().index())) {
      crashes.crashSoon(worker);
    }
  }

  @Override
  public void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs) {
    gangs.remove(end.run(), worker.entry().rack());
    observer.onEnd(worker, end, unsavedMs);
  }
}
