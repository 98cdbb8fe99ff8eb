package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskRecord.State;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import java.util.List;

/** Tracks each run from the decision to start it until its end is known. */
final class RunTracker {
  /** Pause of a worker that refused a start as unhealthy, or to which no order could be sent. */
  private static final long REFUSAL_PAUSE_MS = 2_000;

  /**
   * Pause of a worker that had fewer free resources than expected; its list of runs is refreshed
   * before it is used again.
   */
  private static final long NO_ROOM_PAUSE_MS = 300;

  private final SchedulerState state;
  private final WorkerFailureTracker failureTracker;
  private final StartRetrier startRetrier;
  private final StartQueue startQueue;

  RunTracker(SchedulerState state) {
    this.state = state;
    failureTracker = new WorkerFailureTracker();
    startRetrier = new StartRetrier(state, this);
    startQueue = new StartQueue(state, this);
  }

  /** Adds a run whose start order is sent once the decision is in the store. */
  void schedule(Task task, RunName run, WorkerState worker, EventTime now) {
    Placement placement = new Placement(task, run, worker, Phase.ORDERED, now.ms());
    placement.batch = state.batches.markChanged(task.step.job);
    startQueue.add(placement);
    add(placement);
  }

  /** Returns the start orders that wait to be sent. */
  StartQueue startQueue() {
    return startQueue;
  }

  /** Ends a run whose start order is not sent, as its worker may not be used any more. */
  void drop(Placement placement, EventTime now) {
    state.logDecision(
        placement.run.task().job(),
        "drop order run="
            + runLabel(placement)
            + " worker="
            + placement.worker.id()
            + " age_ms="
            + (now.ms() - placement.phaseSinceMs)
            + " worker_is="
            + placement.worker.openness(now.ms()));
    finish(placement, Cause.STOPPED, "", now);
  }

  /** Sends the first start order of a run. */
  void start(Placement placement, EventTime now) {
    placement.untilMs = placement.worker.leaseUntilMs(now.ms(), state.times.leaseMs());
    placement.enterPhase(Phase.STARTING, now.ms());
    sendStart(placement, now);
  }

  /** Adds a run that an earlier owner started. */
  void adopt(Task task, WorkerState worker, EventTime now) {
    add(new Placement(task, new RunName(task.name, task.run), worker, Phase.ADOPTING, now.ms()));
  }

  /** Adds a run that a worker lists without a matching record, and stops it. */
  void stopUnexpected(Task task, RunName run, WorkerState worker, EventTime now) {
    Placement placement = new Placement(task, run, worker, Phase.RUNNING, now.ms());
    add(placement);
    stop(placement, StopCause.NOT_EXPECTED, "not expected", now);
  }

  /** Sends a start order for the first time or as a repetition. */
  void sendStart(Placement placement, EventTime now) {
    WorkerState worker = placement.worker;
    placement.startOrders++;
    placement.openOrders++;
    placement.orderSentMs = now.ms();
    placement.firstOrderMs = placement.firstOrderMs < 0 ? now.ms() : placement.firstOrderMs;
    startQueue.onSent(placement, now);
    worker.grantLease(now.ms(), state.times);
    state.emit(
        new JobEffect.StartRun(
            worker.callee(),
            placement.run,
            placement.task.step.job.spec.payload(),
            placement.untilMs,
            placement.task.checkpoint));
  }

  /** Handles a list without a run that is being started. */
  void onStartNotListed(Placement placement, long listSentMs, EventTime now) {
    startRetrier.onNotListed(placement, listSentMs, now);
  }

  /** Stops runs whose start was not confirmed in time. */
  void giveUpUnansweredStarts(EventTime now) {
    startRetrier.giveUpOverdue(now);
  }

  void onStartAnswered(WorkerState worker, RunName run, StartReply reply, EventTime now) {
    Placement placement = worker.placements.get(run);
    if (placement == null || placement.phase == Phase.ORDERED) {
      return;
    }
    if (!(reply instanceof StartReply.Unknown)) {
      placement.openOrders--;
    }
    if (reply instanceof StartReply.Started) {
      placement.confirmed = true;
      if (placement.phase == Phase.STARTING) {
        placement.enterPhase(Phase.RUNNING, now.ms());
        placement.percentSinceMs = now.ms();
        placement.startedMs = now.ms();
        placement.runTimeKnown = placement.task.checkpoint.isEmpty();
        worker.refreshWanted |= placement.workerBornMs != worker.bornMs;
        onStarted(placement);
      }
    } else if (reply instanceof StartReply.Refused refused) {
      onRefused(placement, refused.reason(), now);
    } else if (reply instanceof StartReply.Unknown unknown) {
      startRetrier.onUnanswered(placement, unknown.detail(), now);
    }
  }

  private void onStarted(Placement placement) {
    placement.task.step.onRunStarted();
    Job job = placement.task.step.job;
    if (job.phase == JobPhase.QUEUED) {
      job.phase = JobPhase.RUNNING;
      state.batches.markChanged(job);
    }
  }

  private void onRefused(Placement placement, Reason reason, EventTime now) {
    WorkerState worker = placement.worker;
    if (reason == Reason.FENCED) {
      state.emit(new JobEffect.StepDown("worker " + worker.id() + " follows a later owner"));
      return;
    }
    if (reason == Reason.NOT_SENT && startRetrier.onNotSent(placement, now)) {
      return;
    }
    if (reason == Reason.UNHEALTHY || reason == Reason.NOT_SENT) {
      worker.pausedUntilMs = now.ms() + REFUSAL_PAUSE_MS;
    }
    if (reason == Reason.NO_ROOM) {
      worker.pausedUntilMs = now.ms() + NO_ROOM_PAUSE_MS;
      worker.refreshWanted = true;
    }
    if (placement.phase == Phase.RUNNING) {
      return; // An earlier order was carried out: the worker has listed the run.
    }
    if (placement.startOrders > 1) {
      // An earlier order may still be carried out later; a stop order prevents that.
      stopWithGang(placement, StopCause.START_UNANSWERED, "refused later: " + reason, now);
      return;
    }
    state.logDecision(
        placement.run.task().job(),
        "refused run=" + runLabel(placement) + " worker=" + worker.id() + " reason=" + reason);
    finish(placement, Cause.STOPPED, "", now);
  }

  /** Stops a run together with the other members of its gang. */
  void stopWithGang(Placement placement, StopCause cause, String why, EventTime now) {
    StepInstance step = placement.task.step;
    if (!step.isGang()) {
      stop(placement, cause, why, now);
      return;
    }
    for (Task task : step.tasks) {
      for (Placement member : List.copyOf(task.placements)) {
        if (member.run.run() == placement.run.run()) {
          stop(member, cause, why, now);
        }
      }
    }
  }

  /** Stops a run, or drops it if its start order was not sent yet. */
  void stop(Placement placement, StopCause cause, String why, EventTime now) {
    if (placement.phase == Phase.ORDERED) {
      finish(placement, Cause.STOPPED, "", now);
      return;
    }
    if (placement.phase == Phase.STOPPING) {
      return;
    }
    placement.enterPhase(Phase.STOPPING, now.ms());
    placement.stopCause = cause;
    placement.task.reclaims += cause == StopCause.RECLAIMED ? 1 : 0;
    state.logDecision(
        placement.run.task().job(),
        "stop run=" + runLabel(placement) + " worker=" + placement.worker.id() + " why=" + why);
    sendStop(placement, false, now);
  }

  /** Repeats stop orders that were not confirmed. */
  void repeatStops(WorkerState worker, EventTime now) {
    for (Placement placement : worker.placements.values()) {
      if (placement.phase == Phase.STOPPING
          && !placement.stopConfirmed
          && !placement.stopInFlight
          && now.ms() - placement.stopSentMs >= placement.stopPauseMs(state.times.retryMs())) {
        sendStop(placement, true, now);
      }
    }
  }

  private void sendStop(Placement placement, boolean repeated, EventTime now) {
    if (!placement.worker.hasAddress()) {
      return; // The run ends with its lease, or is stopped when the worker is listed again.
    }
    placement.stopInFlight = true;
    placement.stopOrders++;
    placement.stopSentMs = now.ms();
    state.emit(
        new JobEffect.StopRun(
            placement.worker.callee(), placement.run, placement.stopCause, repeated));
  }

  void onStopAnswered(WorkerState worker, RunName run, boolean confirmed, EventTime now) {
    Placement placement = worker.placements.get(run);
    if (placement == null) {
      return;
    }
    placement.stopInFlight = false;
    if (confirmed && placement.phase == Phase.STOPPING && !placement.stopConfirmed) {
      placement.stopConfirmed = true;
      placement.phaseSinceMs = now.ms();
      worker.refreshWanted = true;
    }
  }

  /** Ends a run that its worker neither lists nor reports as ended. */
  void onLost(Placement placement, String why, EventTime now) {
    state.logDecision(
        placement.run.task().job(),
        "lost run="
            + runLabel(placement)
            + " worker="
            + placement.worker.id()
            + " phase="
            + placement.phase
            + " phase_ms="
            + (now.ms() - placement.phaseSinceMs)
            + " why="
            + why);
    finish(placement, Cause.LAPSED, "", now);
  }

  /** Handles the end of a run. */
  void finish(Placement placement, Cause cause, String checkpoint, EventTime now) {
    if (!placement.worker.remove(placement, now.ms())) {
      return; // Already ended together with another member of its gang.
    }
    Task task = placement.task;
    task.placements.remove(placement);
    state.planWanted = true;
    if (!checkpoint.isEmpty()) {
      keepCheckpoint(task, checkpoint);
    }
    if (task.step.job.phase.isFinal()) {
      task.step.job.closeSettled();
      return;
    }
    if (!placement.isCurrent()) {
      return;
    }
    state.batches.markChanged(task.step.job);
    switch (cause) {
      case DONE -> onDone(placement, now);
      case FAILED -> onFailed(placement, now);
      case STOPPED, LAPSED, BROKEN, ALONE -> requeue(placement, cause, now);
    }
  }

  private void onDone(Placement placement, EventTime now) {
    StepInstance step = placement.task.step;
    if (step.spec.longRunning()) {
      requeue(placement, Cause.DONE, now);
      return;
    }
    if (placement.runTimeKnown) {
      state.statistics.addRunTime(
          step.job.spec.template(), (double) (now.ms() - placement.startedMs));
    }
    failureTracker.onSucceeded(placement.worker);
    if (step.isGang()) {
      // All members finish together, so the end of one completes the others.
      step.tasks.forEach(task -> task.state = State.DONE);
    } else {
      placement.task.state = State.DONE;
    }
    Job job = step.job;
    if (job.isDone()) {
      endJob(job, JobPhase.COMPLETED, now);
    }
  }

  private void onFailed(Placement placement, EventTime now) {
    StepInstance step = placement.task.step;
    failureTracker.onFailed(placement, now);
    if (step.isGang()) {
      if (step.lastCountedFailedRun != placement.run.run()) {
        step.lastCountedFailedRun = placement.run.run();
        step.tasks.forEach(task -> task.failures++);
      }
    } else {
      placement.task.failures++;
    }
    state.logDecision(
        step.job.spec.id(),
        "failed run="
            + runLabel(placement)
            + " worker="
            + placement.worker.id()
            + " failures="
            + placement.task.failures
            + " of="
            + step.job.spec.objective().maxAttempts());
    boolean attemptsUsedUp = placement.task.failures >= step.job.spec.objective().maxAttempts();
    if (attemptsUsedUp && !step.spec.longRunning()) {
      endJob(step.job, JobPhase.FAILED, now);
      return;
    }
    requeue(placement, Cause.FAILED, now);
  }

  private void requeue(Placement placement, Cause cause, EventTime now) {
    placement.task.state = State.WAITING;
    if (cause == Cause.LAPSED || cause == Cause.ALONE) {
      state.logDecision(
          placement.run.task().job(),
          "requeue run="
              + runLabel(placement)
              + " worker="
              + placement.worker.id()
              + " end="
              + cause);
    }
    if (placement.task.step.isGang()) {
      stopWithGang(placement, StopCause.MEMBER_ENDED, "a member ended: " + cause, now);
    }
  }

  /** Moves a job to a final phase and stops its remaining runs. */
  void endJob(Job job, JobPhase phase, EventTime now) {
    job.finish(phase, now.wallMs());
    state.batches.markChanged(job);
    state.planWanted = true;
    state.logDecision(
        job.spec.id(), "job phase=" + phase + " age_ms=" + (now.ms() - job.acceptedMs));
    if (phase == JobPhase.COMPLETED) {
      job.closeSettled();
      return;
    }
    job.openTasks()
        .flatMap(task -> List.copyOf(task.placements).stream())
        .toList()
        .forEach(placement -> stop(placement, StopCause.JOB_ENDED, "job " + phase, now));
    job.closeSettled();
  }

  private void add(Placement placement) {
    placement.worker.add(placement);
    placement.task.placements.add(placement);
  }

  private static void keepCheckpoint(Task task, String checkpoint) {
    if (task.step.isGang()) {
      // Members of a gang resume from a common checkpoint.
      task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
    } else {
      task.checkpoint = checkpoint;
    }
  }

  static String runLabel(Placement placement) {
    return placement.run.task().occurrence()
        + "."
        + placement.run.task().step()
        + "."
        + placement.run.task().index()
        + "#"
        + placement.run.run();
  }
}
