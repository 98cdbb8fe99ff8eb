package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskRecord.State;

/** A run on a worker, from the decision to start it until its end is known. */
final class Placement {
  /** How far a run is known to be. */
  enum Phase {
    /** Decided, not in the store yet. */
    ORDERED,
    /** The order to start is on its way. */
    STARTING,
    /** The worker has confirmed it. */
    RUNNING,
    /** Found in the store by a new owner; the worker has not been asked yet. */
    ADOPTING,
    /** It is to be stopped, because it is not wanted or its start got no answer. */
    STOPPING
  }

  final Task task;
  final RunName run;
  final WorkerState worker;
  Phase phase;

  /** When the phase began; lists that were asked for before say nothing about it. */
  long phaseSinceMs;

  /** End of the lease by the worker's clock, fixed when the run was decided. */
  long untilMs;

  /** Batch of records that must be in the store before the start is sent. */
  long batch;

  /** Number of orders to start that were sent. */
  int startOrders;

  StopCause stopCause = StopCause.NOT_EXPECTED;
  boolean stopConfirmed;
  boolean stopInFlight;
  long stopSentMs = Long.MIN_VALUE / 2;
  int percent;
  long percentSinceMs;
  long startedMs;

  /** Whether its run time is known from its start and without a checkpoint. */
  boolean timed;

  Placement(Task task, RunName run, WorkerState worker, Phase phase, long nowMs) {
    this.task = task;
    this.run = run;
    this.worker = worker;
    this.phase = phase;
    phaseSinceMs = nowMs;
    percentSinceMs = nowMs;
    startedMs = nowMs;
  }

  Resources size() {
    return task.step.spec.each();
  }

  void enter(Phase next, long nowMs) {
    phase = next;
    phaseSinceMs = nowMs;
  }

  /** Returns whether this is the run that the task waits for. */
  boolean isCurrent() {
    return task.run == run.run() && task.state == State.PLACED;
  }
}
