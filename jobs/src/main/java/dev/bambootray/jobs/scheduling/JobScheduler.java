package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.TaskRecord.State;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Schedules the jobs of a pool of workers.
 *
 * <p>Only the owner of the pool runs a scheduler. Every decision is stored before it is sent to a
 * worker, and the end of every run is stored before it is acknowledged to the worker, so a
 * successor can continue from the records and the run lists of the workers. The scheduler uses no
 * thread, clock or socket: {@link #handle} takes an event and returns the effects to carry out.
 */
public final class JobScheduler {
  /** Interval of the checks that depend only on time. */
  private static final long CHECK_INTERVAL_MS = 200;

  /**
   * With more waiting steps than this a round of placement takes milliseconds, so rounds are spaced
   * by {@link #PLAN_PAUSE_MS} instead of following each event.
   */
  private static final int MANY_WAITING_STEPS = 30;

  /** Minimum time between two rounds of placement while many steps wait. */
  private static final long PLAN_PAUSE_MS = 100;

  private final SchedulerState state;
  private final RunTracker runs;
  private final WorkerPoller poller;
  private final WorkerMonitor workerMonitor;
  private final Planner planner;
  private final StallDetector stallDetector;
  private final RowRemoval rowRemoval;
  private long nextCheckMs;
  private long nextPlanMs;

  private JobScheduler(SchedulerTimes times, SchedulingPolicy policy) {
    state = new SchedulerState(times);
    runs = new RunTracker(state);
    poller = new WorkerPoller(state, runs);
    workerMonitor = new WorkerMonitor(state, runs, poller);
    planner = new Planner(state, runs, policy);
    stallDetector = new StallDetector(state, runs);
    rowRemoval = new RowRemoval(state);
  }

  /** Returns a scheduler that waits for {@link JobEvent.TookOver}. */
  public static JobScheduler create(SchedulerTimes times) {
    return create(times, SchedulingPolicy.STANDARD);
  }

  /** Returns a scheduler with a given policy; benchmarks compare several. */
  public static JobScheduler create(SchedulerTimes times, SchedulingPolicy policy) {
    return new JobScheduler(times, policy);
  }

  /** Handles an event and returns the effects in the order in which they must be carried out. */
  public List<JobEffect> handle(JobEvent event, EventTime now) {
    apply(event, now);
    if (now.ms() >= nextCheckMs) {
      nextCheckMs = now.ms() + CHECK_INTERVAL_MS;
      workerMonitor.expireLeases(now);
      stallDetector.check(now);
      runs.giveUpUnansweredStarts(now);
      state.planWanted = true;
    }
    rowRemoval.run(now);
    boolean mayPlan = state.isDeclarationCurrent(now.ms());
    if (state.planWanted && mayPlan && now.ms() >= nextPlanMs) {
      state.planWanted = false;
      int waiting = planner.plan(now);
      nextPlanMs = waiting > MANY_WAITING_STEPS ? now.ms() + PLAN_PAUSE_MS : 0;
    }
    if (state.batches.hasBatchToWrite()) {
      state.emit(state.batches.takeBatch(now.ms()));
    }
    if (event instanceof JobEvent.Tick || event instanceof JobEvent.TookOver) {
      runs.startQueue().dropUnusable(now);
      runs.startQueue().send(now);
      poller.sendAllDueCalls(now);
    }
    return state.takeEffects();
  }

  /**
   * Returns whether the store has a job or its cancellation, but no event has reported it yet.
   *
   * @param id identifier of a stored job
   * @param cancelled whether its cancellation is stored
   */
  public boolean isMissingUpdate(String id, boolean cancelled) {
    return state.job(id).map(job -> cancelled && !job.phase.isFinal()).orElse(true);
  }

  /** Returns the number of accepted jobs that have not started, by template. */
  public Map<String, Long> pendingByTemplate() {
    Map<String, Long> pending = new HashMap<>();
    for (Job job : state.jobs.values()) {
      if (job.phase == JobPhase.QUEUED) {
        pending.merge(job.spec.template(), 1L, Long::sum);
      }
    }
    return pending;
  }

  /** Returns the current load for the log and for metrics. */
  public Load load() {
    long open = 0;
    long heldBytes = 0;
    for (Job job : state.jobs.values()) {
      open += job.phase.isFinal() ? 0 : 1;
      heldBytes += JobFootprint.bytes(job);
    }
    long running = 0;
    long runningInClosedDomains = 0;
    long free = 0;
    long capacity = 0;
    for (WorkerState worker : state.workers.values()) {
      running += worker.placements.size();
      runningInClosedDomains += worker.domainClosed ? worker.placements.size() : 0;
      free += worker.free().accelerators();
      capacity += worker.entry.capacity().accelerators();
    }
    return new Load(
        open,
        running,
        runningInClosedDomains,
        free,
        capacity,
        planner.overdueGuarantees(),
        heldBytes);
  }

  /** Returns a diagnostic text with one line for each worker and for each unfinished step. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    for (WorkerState worker : state.workers.values()) {
      text.append(worker.describe()).append('\n');
    }
    state.jobs.values().stream()
        .filter(job -> !job.phase.isFinal())
        .flatMap(job -> job.openSteps().stream())
        .filter(step -> !step.isDone())
        .forEach(
            step ->
                text.append(step.label())
                    .append(" ready=")
                    .append(step.readyTasks().size())
                    .append(" live=")
                    .append(step.tasks.stream().mapToInt(task -> task.placements.size()).sum())
                    .append(" reserved=")
                    .append(state.reservations.has(step))
                    .append('\n'));
    return text.toString();
  }

  /**
   * Describes the load of the pool.
   *
   * @param openJobs jobs in no final phase
   * @param runs runs placed on workers
   * @param runsInClosedDomains those of the runs that are in a closed failure domain
   * @param freeAccelerators accelerators that no run uses
   * @param accelerators all accelerators
   * @param overdueGuarantees steps that have waited for a guarantee for too long
   * @param heldBytes estimate of the memory that all jobs take
   */
  public record Load(
      long openJobs,
      long runs,
      long runsInClosedDomains,
      long freeAccelerators,
      long accelerators,
      long overdueGuarantees,
      long heldBytes) {}

  private void apply(JobEvent event, EventTime now) {
    if (event instanceof JobEvent.TookOver takeover) {
      takeOver(takeover, now);
    } else if (event instanceof JobEvent.Accepted accepted) {
      accept(accepted, now);
    } else if (event instanceof JobEvent.CancelRequested cancel) {
      cancel(cancel.job(), now);
    } else if (event instanceof JobEvent.WorkerListed listed) {
      workerMonitor.onListed(listed.worker(), now);
    } else if (event instanceof JobEvent.WorkerUnlisted unlisted) {
      workerMonitor.onUnlisted(unlisted.worker(), now);
    } else if (event instanceof JobEvent.DeclarationChanged changed) {
      changeDeclaration(changed.declaration());
    } else if (event instanceof JobEvent.DeclarationConfirmed confirmed) {
      onDeclarationConfirmed(confirmed.asOfMs(), now);
    } else if (event instanceof JobEvent.CallAnswered answered) {
      if (event instanceof JobEvent.StartAnswered started) {
        runs.startQueue().onAnswered(started, now);
      } else if (event instanceof JobEvent.HoldAnswered hold) {
        poller.onHoldAnswered(hold, now);
      }
      state
          .worker(answered.worker().id())
          .ifPresent(worker -> onCallAnswered(worker, answered, now));
      runs.startQueue().send(now);
      poller.sendWaitingLists(now);
    } else if (event instanceof JobEvent.JobRowsRemoved removed) {
      rowRemoval.onRowsRemoved(removed.job());
    } else if (event instanceof JobEvent.CancelMarkRemoved removed) {
      rowRemoval.onMarkRemoved(removed.job());
    } else if (event instanceof JobEvent.Durable durable) {
      state.batches.onDurable(durable.batch());
      runs.startQueue().onDurable(now);
    }
  }

  private void changeDeclaration(JobDeclaration declaration) {
    Set<String> before = state.declaration().closedDomains();
    state.setDeclaration(declaration);
    Set<String> after = declaration.closedDomains();
    after.stream().filter(domain -> !before.contains(domain)).forEach(d -> logDomain(d, "closed"));
    before.stream().filter(domain -> !after.contains(domain)).forEach(d -> logDomain(d, "opened"));
  }

  private void logDomain(String domain, String change) {
    List<WorkerState> workers =
        state.workers.values().stream().filter(w -> w.entry.zone().equals(domain)).toList();
    int runsThere = workers.stream().mapToInt(worker -> worker.placements.size()).sum();
    state.logDecision(
        domain, "domain " + change + " workers=" + workers.size() + " runs=" + runsThere);
  }

  private void onDeclarationConfirmed(long asOfMs, EventTime now) {
    boolean wasCurrent = state.isDeclarationCurrent(now.ms());
    state.declarationAsOfMs = asOfMs;
    if (state.isDeclarationCurrent(now.ms()) && !wasCurrent) {
      runs.startQueue().dropUnusable(now);
      runs.startQueue().send(now);
      state.planWanted = true;
    }
  }

  private void onCallAnswered(WorkerState worker, JobEvent.CallAnswered event, EventTime now) {
    boolean current = worker.isCurrent(event.worker());
    if (!current) {
      logOutdated(worker, event);
    }
    if (event instanceof JobEvent.StartAnswered answered) {
      onStart(worker, answered, current, now);
      if (!worker.refreshWanted) {
        return; // Only an unanswered order makes a call due.
      }
    } else if (event instanceof JobEvent.StopAnswered answered) {
      boolean confirmed = answered.confirmed() && current;
      runs.onStopAnswered(worker, answered.run(), confirmed, now);
    } else if (event instanceof JobEvent.HoldAnswered answered) {
      workerMonitor.onHoldAnswered(worker, answered, now);
    }
    poller.sendDueCalls(worker, now);
  }

  private void logOutdated(WorkerState worker, JobEvent.CallAnswered event) {
    WorkerEntry called = event.worker();
    state.logDecision(
        worker.id(),
        "outdated answer event="
            + event.getClass().getSimpleName()
            + " called_born_ms="
            + called.bornMs()
            + " born_ms="
            + worker.bornMs
            + " moved="
            + !called.address().equals(worker.entry.address()));
  }

  private void onStart(
      WorkerState worker, JobEvent.StartAnswered answered, boolean current, EventTime now) {
    StartReply reply = answered.reply();
    if (reply instanceof StartReply.WorkerRestarted) {
      if (current && worker.knowsAddress()) {
        workerMonitor.onRestartReported(worker, now);
        return;
      }
      reply = new StartReply.Unknown("another worker has the address that was called");
    } else if (reply instanceof StartReply.Started started && current) {
      worker.recordClock(started.clockMs(), now.ms());
    }
    runs.onStartAnswered(worker, answered.run(), reply, now);
  }

  private void takeOver(JobEvent.TookOver takeover, EventTime now) {
    state.setDeclaration(takeover.declaration());
    takeover.workers().forEach(entry -> workerMonitor.onListed(entry, now));
    takeover
        .jobs()
        .forEach(
            spec -> {
              Job job = Job.of(spec, takeover.records().get(spec.id()), now);
              state.jobs.put(spec.id(), job);
              state.statistics.addJob(job);
              adoptRuns(job, now);
              job.openTasks().filter(task -> task.crashes.isolated).forEach(state.suspects::add);
            });
    // The owner before has removed the rows of these jobs, but not yet their records.
    takeover.records().keySet().stream()
        .filter(id -> !state.jobs.containsKey(id))
        .forEach(state.batches::markRemoved);
    state.workers.values().forEach(worker -> startOrphanLease(worker, now));
    takeover.cancelled().forEach(job -> cancel(job, now));
    state.logDecision(
        "-",
        "takeover jobs="
            + takeover.jobs().size()
            + " records="
            + takeover.records().size()
            + " workers="
            + takeover.workers().size());
  }

  private void adoptRuns(Job job, EventTime now) {
    job.openTasks()
        .filter(task -> task.state == State.PLACED)
        .forEach(task -> runs.adopt(task, workerOrPlaceholder(task, job), now));
  }

  /** Returns the worker of a run, or a placeholder if the registry does not list that worker. */
  private WorkerState workerOrPlaceholder(Task task, Job job) {
    return state.workers.computeIfAbsent(
        task.worker,
        id ->
            new WorkerState(
                new WorkerEntry(
                    id,
                    job.spec.service(),
                    "",
                    "",
                    "",
                    Set.of(),
                    new Resources(0, 0, 0),
                    0,
                    true)));
  }

  private void startOrphanLease(WorkerState worker, EventTime now) {
    worker.leaseEndMs = now.ms() + state.times.orphanLeaseMs();
  }

  private void accept(JobEvent.Accepted accepted, EventTime now) {
    if (state.jobs.containsKey(accepted.job().id())) {
      return;
    }
    Job job = Job.of(accepted.job(), null, now);
    state.jobs.put(accepted.job().id(), job);
    state.statistics.addJob(job);
    state.logDecision(
        accepted.job().id(),
        "queued template="
            + accepted.job().template()
            + " priority="
            + accepted.job().objective().priority()
            + " age_ms="
            + (now.ms() - job.acceptedMs));
    if (state.earlyCancellations.contains(job.spec.id())) {
      cancel(job.spec.id(), now);
    }
    state.planWanted = true;
  }

  private void cancel(String id, EventTime now) {
    Optional<Job> job = state.job(id);
    if (job.isEmpty()) {
      state.earlyCancellations.add(id, now.ms());
    } else if (!job.get().phase.isFinal()) {
      runs.endJob(job.get(), JobPhase.CANCELLED, now);
    }
  }
}
