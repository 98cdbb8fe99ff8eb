package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Workspace;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs a simulated pool and checks that no task runs twice at the same time, that no worker exceeds
 * its capacity, that no finished task starts again, that no run is ordered in a closed failure
 * domain, that jobs within a guarantee start in time, and that no job stands still beside idle
 * capacity once the load has ended.
 */
final class SchedulerRig implements PoolSimulation.Observer {
  /** Time after a fault during which the platform's rules for fault-free operation do not apply. */
  private static final long NEAR_FAULT_MS = 4_000;

  private static final long POISON_WORK_MS = 500;

  final PoolSimulation pool;
  private final List<String> started = new ArrayList<>();
  private final FinishedTaskCheck finishedTasks = new FinishedTaskCheck();
  private final GuaranteeDeadlineCheck guarantees;
  private final IdleCapacityCheck idleCapacity = new IdleCapacityCheck();
  private final Set<TaskName> done = new HashSet<>();
  private final Set<String> draining = new HashSet<>();
  private long lastSubmitMs;
  int starts;

  /** Returns a rig with an owner and workers of eight accelerators. */
  static SchedulerRig owned(int workers, int perRack, int guaranteed) {
    SchedulerRig rig =
        new SchedulerRig(1)
            .workers(workers, perRack, new Resources(8, 32_000, 64_000))
            .guarantee("ws", guaranteed);
    rig.pool.takeOver();
    rig.run(200);
    return rig;
  }

  /** Returns a step of independent tasks with an estimated run time of one second. */
  static StepSpec tasks(int count, int accelerators) {
    return step(count, accelerators).build();
  }

  /** Returns a gang on one rack with an estimated run time of one second. */
  static StepSpec gang(int count, int accelerators) {
    return step(count, accelerators).gang(true).sameRack(true).build();
  }

  private static StepSpec.Builder step(int count, int accelerators) {
    return StepSpec.builder(count, new Resources(accelerators, 2_000, 1_000)).estimateMs(1_000);
  }

  SchedulerRig(long seed) {
    pool = new PoolSimulation(seed, SchedulingPolicy.STANDARD, this);
    guarantees = new GuaranteeDeadlineCheck(pool);
  }

  SchedulerRig workers(int count, int perRack, Resources capacity) {
    pool.addWorkers(count, perRack, capacity, 1);
    return this;
  }

  /** Guarantees accelerators to a workspace, besides those that others have. */
  SchedulerRig guarantee(String workspace, int accelerators) {
    List<Workspace> all = new ArrayList<>(pool.declaration().workspaces());
    all.removeIf(other -> other.name().equals(workspace));
    all.add(new Workspace(workspace, List.of(), accelerators));
    pool.declare(new JobDeclaration(2, List.of(), Map.of(), all, 1_000));
    return this;
  }

  void submit(String id, int priority, long taskMs, StepSpec... steps) {
    submit(id, priority, SimulatedWork.of(taskMs), 0, steps);
  }

  /** Submits a job whose acceptance reaches the owner only after a delay. */
  void submitWithDelayedEvent(
      String id, int priority, long taskMs, long delayMs, StepSpec... steps) {
    submit(id, priority, SimulatedWork.of(taskMs), delayMs, steps);
  }

  /** Submits a job of another workspace than the usual one. */
  void submitTo(String workspace, String id, int priority, long taskMs, StepSpec... steps) {
    submit(workspace, id, priority, SimulatedWork.of(taskMs), 0, steps);
  }

  void submitPoison(String id, StepSpec step) {
    submit(id, 1, SimulatedWork.poison(POISON_WORK_MS), 0, step);
  }

  /** Submits a job whose first task crashes each worker that starts it. */
  void submitDeadly(String id, StepSpec step) {
    submit(id, 1, SimulatedWork.deadly(POISON_WORK_MS), 0, step);
  }

  private void submit(
      String id, int priority, SimulatedWork work, long delayMs, StepSpec... steps) {
    submit("ws", id, priority, work, delayMs, steps);
  }

  private void submit(
      String workspace,
      String id,
      int priority,
      SimulatedWork work,
      long delayMs,
      StepSpec... steps) {
    lastSubmitMs = pool.nowMs();
    pool.submit(
        new JobSpec(
            id,
            workspace,
            "p" + priority,
            "s",
            "payload",
            List.of(steps),
            new JobSpec.Objective(priority, 2, 3.0, 1_000),
            JobSpec.Schedule.ONCE,
            pool.wallMs() - delayMs),
        work);
  }

  void run(long forMs) {
    long endMs = pool.nowMs() + forMs;
    while (pool.nowMs() < endMs) {
      pool.run(Math.min(GuaranteeDeadlineCheck.INTERVAL_MS, endMs - pool.nowMs()));
      guarantees.check();
      checkIdleCapacity();
    }
  }

  private void checkIdleCapacity() {
    long disturbedMs =
        Math.max(pool.lastFaultMs(), Math.min(pool.nowMs(), pool.disturbedUntilMs()));
    boolean disturbed =
        pool.nowMs() - disturbedMs < NEAR_FAULT_MS
            || pool.nowMs() < pool.disturbedUntilMs()
            || pool.workers().stream()
                .anyMatch(w -> w.isUnreachable() || w.isFailing() || w.isHanging());
    if (disturbed || pool.nowMs() - lastSubmitMs < IdleCapacityCheck.AFTER_LOAD_MS) {
      idleCapacity.reset();
      return;
    }
    Set<String> running = new HashSet<>();
    pool.workers().forEach(w -> w.runs().forEach(run -> running.add(run.task().job())));
    List<WaitingStep> waiting =
        pool.jobs().stream()
            .filter(job -> !phase(job.id()).isFinal() && !running.contains(job.id()))
            .flatMap(job -> WaitingStep.of(job.id(), job.steps(), done::contains).stream())
            .toList();
    List<SimulatedPoolWorker> open = pool.workers().stream().filter(this::mayGetRuns).toList();
    for (String found : idleCapacity.check(pool.nowMs(), waiting, open)) {
      String job = found.substring(0, found.indexOf(' '));
      throw new AssertionError(
          found + " at " + pool.nowMs() + decisionsAbout(job) + "\n" + pool.describe());
    }
  }

  private boolean mayGetRuns(SimulatedPoolWorker worker) {
    return !worker.isGone()
        && pool.crashes().isListed(worker)
        && !draining.contains(worker.entry().id())
        && !pool.declaration().closedDomains().contains(worker.entry().zone());
  }

  SimulatedPoolWorker worker(String id) {
    return pool.worker(id);
  }

  JobPhase phase(String job) {
    return pool.phase(job);
  }

  boolean hasStarted(String job) {
    return started.contains(job);
  }

  /** Returns how many runs of a job have started. */
  long startsOf(String job) {
    return started.stream().filter(job::equals).count();
  }

  /** Marks a worker as draining; its runs continue. */
  void drain(String worker) {
    draining.add(worker);
    pool.drain(worker);
  }

  /** Returns the worker that runs a job of one task. */
  String workerOf(String job) {
    return pool.workers().stream()
        .filter(worker -> worker.runs().stream().anyMatch(run -> run.task().job().equals(job)))
        .map(worker -> worker.entry().id())
        .findFirst()
        .orElseThrow();
  }

  /** Returns a worker whose runs were stopped by the newest reclaim. */
  String workerToBeFreed() {
    String line =
        pool.decisions().stream()
            .filter(decision -> decision.contains(" why=reclaimed"))
            .reduce((first, second) -> second)
            .orElseThrow();
    return line.replaceAll(".*worker=(\\S+).*", "$1");
  }

  /** Returns how many runs were stopped for a reason. */
  long stops(String why) {
    return pool.decisions().stream().filter(line -> line.contains(" why=" + why)).count();
  }

  void assertAllFinal() {
    for (JobSpec job : pool.jobs()) {
      assertTrue(
          phase(job.id()).isFinal(),
          () ->
              job.id()
                  + " is "
                  + phase(job.id())
                  + " at "
                  + pool.nowMs()
                  + decisionsAbout(job.id())
                  + "\n"
                  + pool.describe());
    }
  }

  /** Returns how many workers have crashed. */
  long crashes() {
    return pool.crashes().count();
  }

  long completed() {
    return pool.jobs().stream().filter(job -> phase(job.id()) == JobPhase.COMPLETED).count();
  }

  @Override
  public void onStartOrdered(JobEffect.StartRun start) {
    assertFalse(
        pool.declaration().closedDomains().contains(start.worker().zone()),
        () -> start.run() + " starts in a closed failure domain" + decisionsAbout(start.run()));
  }

  @Override
  public void onAcknowledged(RunEnd end) {
    finishedTasks.onAcknowledged(end).ifPresent(wrong -> fail(end.run(), wrong));
  }

  @Override
  public void onNoRoom(SimulatedPoolWorker worker, RunName run) {
    throw new AssertionError("no free resources for " + run + " at " + worker.entry().id());
  }

  @Override
  public void onStart(SimulatedPoolWorker worker, RunName run) {
    starts++;
    started.add(run.task().job());
    guarantees.onStart(run);
    Resources free = worker.free();
    assertTrue(
        free.accelerators() >= 0 && free.millicores() >= 0 && free.memoryMib() >= 0,
        () -> worker.entry().id() + " exceeds its capacity at " + pool.nowMs());
    for (SimulatedPoolWorker other : pool.workers()) {
      long same =
          other.runs().stream().filter(running -> running.task().equals(run.task())).count();
      assertEquals(
          other == worker ? 1 : 0,
          same,
          () -> run + " runs twice at " + pool.nowMs() + decisionsAbout(run));
    }
    finishedTasks.onStart(run).ifPresent(wrong -> fail(run, wrong));
  }

  @Override
  public void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs) {
    finishedTasks.onEnd(end);
    if (end.cause() == Cause.DONE) {
      done.add(end.run().task());
    }
    // Near a fault the stop of the other members can be lost too, which the platform allows.
    assertTrue(
        end.cause() != Cause.ALONE || pool.nowMs() - pool.lastFaultMs() < NEAR_FAULT_MS,
        () -> end.run() + " ended because its gang did not start" + decisionsAbout(end.run()));
  }

  private void fail(RunName run, String wrong) {
    throw new AssertionError(wrong + " at " + pool.nowMs() + decisionsAbout(run));
  }

  private String decisionsAbout(RunName run) {
    return decisionsAbout(run.task().job());
  }

  /** Returns the decisions about a job, for assertion messages. */
  String decisionsAbout(String job) {
    return "\n"
        + String.join(
            "\n",
            pool.decisions().stream().filter(line -> line.contains(" " + job + " ")).toList());
  }
}
