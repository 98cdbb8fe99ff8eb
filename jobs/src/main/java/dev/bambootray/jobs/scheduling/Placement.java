package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskRecord.State;

/** Tracks a run on a worker from the decision to start it until its end is known. */
final class Placement {
  /** State of a run as far as the owner knows it. */
  enum Phase {
    /** Its start order was not sent: it waits for the store or for other orders. */
    ORDERED,
    /** The start order was sent and is not confirmed. */
    STARTING,
    /** The worker has confirmed it. */
    RUNNING,
    /** A new owner found it in the store and the worker has not listed its runs yet. */
    ADOPTING,
    /** A stop was ordered because the run is not needed or its start was not confirmed. */
    STOPPING
  }

  /** Limits the pause between stop orders to eight times the first one. */
  private static final int MAX_STOP_DOUBLINGS = 3;

  final Task task;
  final RunName run;
  final WorkerState worker;
  Phase phase;

  /** Start of the phase; lists requested before this time are too old to refer to it. */
  long phaseSinceMs;

  /** Start of the worker's process for which the run was planned, or which has listed it. */
  long workerBornMs;

  /** Whether a list has shown the run. */
  boolean listed;

  /** Whether the worker has confirmed its start. */
  boolean confirmed;

  /** Whether a crash of its worker was counted for its task. */
  boolean crashCounted;

  /** End of the lease by the worker's clock, fixed when its first start order is sent. */
  long untilMs;

  /** Batch of records that must be stored before the start order is sent. */
  long batch;

  /** Number of start orders that were sent. */
  int startOrders;

  /** Time of its first start order, or -1. */
  long firstOrderMs = -1;

  /** Time of its newest start order, or -1. */
  long orderSentMs = -1;

  /** Time at which its newest start order was found to be unanswered, or -1. */
  long unansweredSinceMs = -1;

  /** Number of start orders that may still be carried out. */
  int openOrders;

  StopCause stopCause = StopCause.NOT_EXPECTED;
  boolean stopConfirmed;
  boolean stopInFlight;

  /** Number of stop orders that were sent to its present process without a confirmation. */
  int stopOrders;

  long stopSentMs = Long.MIN_VALUE / 2;
  int percent;
  long percentSinceMs;
  long startedMs;

  /** Whether the run time is known: the start was confirmed and used no checkpoint. */
  boolean runTimeKnown;

  Placement(Task task, RunName run, WorkerState worker, Phase phase, long nowMs) {
    this.task = task;
    this.run = run;
    this.worker = worker;
    this.phase = phase;
    workerBornMs = worker.bornMs;
    phaseSinceMs = nowMs;
    percentSinceMs = nowMs;
    startedMs = nowMs;
  }

  Resources resources() {
    return task.step.spec.each();
  }

  void enterPhase(Phase next, long nowMs) {
    phase = next;
    phaseSinceMs = nowMs;
  }

  /** Forgets the confirmation of its stop, so that the stop is ordered again at once. */
  void resetStop() {
    stopConfirmed = false;
    stopOrders = 0;
    stopSentMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns the pause after its newest stop order: repetitions become rarer, for a busy machine.
   */
  long stopPauseMs(long retryMs) {
    return retryMs << Math.min(Math.max(0, stopOrders - 1), MAX_STOP_DOUBLINGS);
  }

  /** Returns whether its worker may have started it. */
  boolean mayHaveRun() {
    return confirmed || listed || startOrders > 1 || phase == Phase.ADOPTING;
  }

  /** Returns whether this is the current run of its task. */
  boolean isCurrent() {
    return task.run == run.run() && task.state == State.PLACED;
  }
}
