package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.List;

/**
 * Repeats start orders that were not answered.
 *
 * <p>Workers may leave orders unanswered and carry some of them out seconds later. The worker may
 * already run the task, but it starts each run number only once. An order that is repeated to the
 * same process is therefore safe, while a new run under another number is not.
 *
 * <p>An order is repeated only after a list without the run. Otherwise the run might end, and its
 * worker restart, while a needless order is on its way, which the next process would carry out.
 */
final class StartRetrier {
  /**
   * Time for which a start order is repeated. On the platform, members of a gang wait at least 3 s
   * for the other members; those that have started must be stopped before that.
   */
  private static final long RETRY_WINDOW_MS = 1_500;

  /**
   * Time from its first order for which an order that could not be sent may wait again. Its last
   * attempt and the stops of the other members then end before these have waited for 3 s.
   */
  private static final long WAIT_AGAIN_MS = 2_000;

  /** A start that is still unconfirmed after this time is stopped. */
  private static final long GIVE_UP_MS = 2 * RETRY_WINDOW_MS;

  private final SchedulerState state;
  private final RunTracker runs;

  StartRetrier(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /** Handles a start order that was not answered. */
  void onUnanswered(Placement placement, String detail, EventTime now) {
    if (placement.phase != Phase.STARTING) {
      return; // The worker has already listed the run, or the run is being stopped.
    }
    placement.worker.refreshWanted = true;
    placement.unansweredSinceMs = now.ms();
    if (!mayRepeat(placement, now)) {
      giveUp(placement, "start not answered: " + detail, now);
      return;
    }
    state.logDecision(
        placement.run.task().job(),
        "start unanswered run="
            + RunTracker.runLabel(placement)
            + " worker="
            + placement.worker.id()
            + " orders="
            + placement.startOrders
            + " detail="
            + detail);
  }

  /**
   * Handles a start order that waited for its whole time and was not sent.
   *
   * <p>That tells of the owner's own load, not of the worker, as long as the worker answers. An
   * order that fails at once tells of the worker and is not handled here.
   *
   * @return whether the run may still be started by this or an earlier order
   */
  boolean onNotSent(Placement placement, EventTime now) {
    boolean waited = now.ms() - placement.orderSentMs >= SchedulerTimes.ORDER_TIMEOUT_MS;
    if (!waited || placement.phase != Phase.STARTING || placement.worker.failedCalls > 0) {
      return false;
    }
    if (placement.startOrders > 1) {
      onUnanswered(placement, "not sent", now); // An earlier order may have been carried out.
      return true;
    }
    if (!mayRepeat(placement, now)) {
      return false;
    }
    placement.startOrders = 0;
    placement.enterPhase(Phase.ORDERED, now.ms());
    runs.startQueue().addAgain(placement);
    return true;
  }

  /** Handles a list without a run that is being started. */
  void onNotListed(Placement placement, long listSentMs, EventTime now) {
    boolean unanswered = placement.unansweredSinceMs >= 0;
    if (!unanswered || listSentMs < placement.unansweredSinceMs) {
      return; // An order is on its way, or was when the list was asked for.
    }
    if (!mayRepeat(placement, now)) {
      giveUp(placement, "start not answered and not listed", now);
      return;
    }
    placement.unansweredSinceMs = -1;
    state.logDecision(
        placement.run.task().job(),
        "repeat start run="
            + RunTracker.runLabel(placement)
            + " worker="
            + placement.worker.id()
            + " orders="
            + placement.startOrders);
    runs.sendStart(placement, now);
  }

  private void giveUp(Placement placement, String why, EventTime now) {
    runs.stopWithGang(placement, StopCause.START_UNANSWERED, why, now);
  }

  /** Stops runs whose start was not confirmed in time. */
  void giveUpOverdue(EventTime now) {
    for (WorkerState worker : state.workers.values()) {
      for (Placement placement : List.copyOf(worker.placements.values())) {
        if (placement.phase == Phase.STARTING && now.ms() - placement.firstOrderMs > GIVE_UP_MS) {
          runs.stopWithGang(placement, StopCause.START_UNANSWERED, "start not settled", now);
        }
      }
    }
  }

  private boolean mayRepeat(Placement placement, EventTime now) {
    WorkerState worker = placement.worker;
    return placement.isCurrent()
        && placement.workerBornMs == worker.bornMs // The lease in the order is by its clock.
        && worker.acceptsRuns()
        && state.isDeclarationCurrent(now.ms())
        && now.ms() - placement.firstOrderMs <= RETRY_WINDOW_MS;
  }

  /** Returns whether an order has waited again for so long that its gang could not be stopped. */
  static boolean hasWaitedTooLong(Placement placement, EventTime now) {
    return placement.firstOrderMs >= 0 && now.ms() - placement.firstOrderMs > WAIT_AGAIN_MS;
  }
}
