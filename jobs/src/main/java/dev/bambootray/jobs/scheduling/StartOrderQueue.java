package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the start orders whose decision is not in the store yet, or that may not be sent yet.
 *
 * <p>An order may wait for any time, because its lease begins when it is sent. What has changed
 * meanwhile is checked then.
 */
final class StartOrderQueue {
  private final SchedulerState state;
  private final RunTracker runs;
  private List<Placement> waiting = new ArrayList<>();

  StartOrderQueue(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /** Adds an order, which is sent once the decision is in the store. */
  void add(Placement placement) {
    placement.batch = state.batches.markChanged(placement.task.step.job);
    waiting.add(placement);
  }

  /** Sends the orders that may be sent by now. */
  void sendDue(EventTime now) {
    if (waiting.isEmpty() || !state.isDeclarationCurrent(now.ms())) {
      return; // A newer declaration may close the failure domain of the worker.
    }
    List<Placement> orders = waiting;
    waiting = new ArrayList<>();
    for (Placement placement : orders) {
      if (!state.batches.isDurable(placement.batch)) {
        waiting.add(placement);
      } else if (isStillOrdered(placement) && !dropIfUnusable(placement, now)) {
        send(placement, now);
      }
    }
  }

  /** Returns whether neither the run nor an earlier member of its gang was stopped meanwhile. */
  private static boolean isStillOrdered(Placement placement) {
    return placement.phase == Phase.ORDERED
        && placement.worker.placements.containsKey(placement.run);
  }

  private boolean dropIfUnusable(Placement placement, EventTime now) {
    WorkerState worker = placement.worker;
    if (worker.isUsable(now.ms())) {
      return false;
    }
    state.logDecision(
        placement.run.task().job(),
        "drop order run="
            + RunTracker.runLabel(placement)
            + " worker="
            + worker.id()
            + " age_ms="
            + (now.ms() - placement.phaseSinceMs)
            + " worker_is="
            + worker.openness(now.ms()));
    runs.finish(placement, Cause.STOPPED, "", now);
    return true;
  }

  private void send(Placement placement, EventTime now) {
    if (!state.batches.isConfirmed(now.ms() - state.times.ownershipMaxAgeMs())) {
      waiting.add(placement);
      state.batches.requestConfirmation(placement.task.step.job);
      return;
    }
    placement.untilMs = placement.worker.leaseUntilMs(now.ms(), state.times.leaseMs());
    placement.enterPhase(Phase.STARTING, now.ms());
    runs.sendStart(placement, now);
  }
}
