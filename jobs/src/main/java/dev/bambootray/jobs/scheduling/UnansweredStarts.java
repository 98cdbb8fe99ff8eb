package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.List;

/**
 * Repeats orders to start that got no answer.
 *
 * <p>It answers workers that leave orders unanswered and carry some of them out seconds later. The
 * worker may run the task already, but it starts a run number once, so a repeated order is safe
 * where a run under another number is not.
 */
final class UnansweredStarts {
  /**
   * Time for which a start is repeated. The shortest wait of a gang for its members is 3 s on the
   * platform; the members that are there must be stopped before.
   */
  private static final long SETTLE_MS = 1_500;

  /** A start that no call has settled after this time is given up. */
  private static final long OVERDUE_MS = 2 * SETTLE_MS;

  private final SchedulerState state;
  private final RunTracker runs;

  UnansweredStarts(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /** Handles an order that got no answer. */
  void onUnanswered(Placement placement, String detail, Now now) {
    if (placement.phase != Phase.STARTING) {
      return; // The worker's list has shown it already, or it is being stopped.
    }
    placement.worker.lookWanted = true;
    if (!mayRepeat(placement, now)) {
      runs.stopWithGang(
          placement, StopCause.START_UNANSWERED, "start not answered: " + detail, now);
      return;
    }
    state.decided(
        placement.run.task().job(),
        "repeat start run="
            + RunTracker.text(placement)
            + " worker="
            + placement.worker.id()
            + " orders="
            + placement.startOrders
            + " detail="
            + detail);
    runs.sendStart(placement, now);
  }

  /** Gives up starts that no answer has settled in time. */
  void giveUpOverdue(Now now) {
    for (WorkerState worker : state.workers.values()) {
      for (Placement placement : List.copyOf(worker.placements.values())) {
        if (placement.phase == Phase.STARTING && now.ms() - placement.phaseSinceMs > OVERDUE_MS) {
          runs.stopWithGang(placement, StopCause.START_UNANSWERED, "start not settled", now);
        }
      }
    }
  }

  private static boolean mayRepeat(Placement placement, Now now) {
    WorkerState worker = placement.worker;
    return placement.isCurrent()
        && worker.listed
        && !worker.entry.draining()
        && now.ms() - placement.phaseSinceMs <= SETTLE_MS;
  }
}
