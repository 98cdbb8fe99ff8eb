package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.Placement.Phase;
import java.util.List;
import java.util.Optional;

/** Decides when workers are asked for their runs, and renews their leases with these calls. */
final class WorkerPoller {
  /** Delay before the next call if the worker lists only ends that cannot be acknowledged yet. */
  static final long UNACKNOWLEDGED_RETRY_MS = 150;

  private final SchedulerState state;
  private final RunTracker runs;
  private final ListQueue lists = new ListQueue();

  WorkerPoller(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /** Sends all due calls to all workers. */
  void sendAllDueCalls(EventTime now) {
    sendWaitingLists(now);
    for (WorkerState worker : List.copyOf(state.workers.values())) {
      sendDueCalls(worker, now);
    }
  }

  /** Notes the end of a call, before the call is handled. */
  void onHoldAnswered(JobEvent.HoldAnswered event, EventTime now) {
    lists.onAnswered(event, now);
  }

  /** Asks for lists that were due earlier, as far as there is room. */
  void sendWaitingLists(EventTime now) {
    for (Optional<String> id = lists.takeNext(); id.isPresent(); id = lists.takeNext()) {
      state.worker(id.get()).ifPresent(worker -> sendDueCalls(worker, now));
    }
  }

  /** Sends all due calls to a worker. */
  void sendDueCalls(WorkerState worker, EventTime now) {
    if (!worker.hasAddress()) {
      return;
    }
    runs.repeatStops(worker, now);
    worker.ends.update(state.batches);
    if (worker.refreshWanted
        && worker.pollInFlight
        && !worker.refreshInFlight
        && worker.failedCalls == 0) {
      if (!lists.admit(worker, true, now)) {
        return;
      }
      worker.refreshWanted = false;
      worker.refreshInFlight = true;
      sendHold(worker, 0, true, now);
      return;
    }
    if (worker.pollInFlight || now.ms() < worker.nextCallMs) {
      return;
    }
    boolean busy = worker.placements.values().stream().anyMatch(WorkerPoller::mayBeAtWorker);
    boolean unacknowledged = worker.ends.isPending();
    boolean settling = worker.ends.isAwaitingStore();
    if (settling && now.ms() - worker.lastReplyMs < UNACKNOWLEDGED_RETRY_MS) {
      return;
    }
    boolean unknown =
        worker.listed
            && (!worker.adopted || worker.failedCalls > 0 || worker.isClockOutdated(now.ms()));
    if (worker.failedCalls > 0 && (busy || unacknowledged || settling || unknown)) {
      if (!worker.refreshInFlight && lists.admit(worker, true, now)) {
        worker.refreshInFlight = true;
        // The long poll of another worker that has taken over the address may occupy its lane.
        sendHold(worker, 0, true, now);
      }
    } else if (busy || unacknowledged || settling || unknown) {
      if (!worker.adopted && !lists.admit(worker, false, now)) {
        return;
      }
      worker.pollInFlight = true;
      boolean wait =
          busy
              && worker.adopted
              && !settling
              && !worker.refreshWanted
              && worker.connection.isUsable();
      worker.refreshWanted = false;
      sendHold(worker, wait ? state.times.holdWaitMs() : 0, false, now);
    }
  }

  /**
   * Sends a hold call. Only a poll that is bound to the known process acknowledges ends and extends
   * leases; other calls ask for a list, which tells of a restart.
   */
  private void sendHold(WorkerState worker, long waitMs, boolean refresh, EventTime now) {
    boolean sameProcess = !refresh && worker.failedCalls == 0 && worker.connection.isUsable();
    boolean extend =
        sameProcess && worker.adopted && worker.knowsClock() && !worker.placements.isEmpty();
    long untilMs = extend ? worker.leaseUntilMs(now.ms(), state.times.leaseMs()) : 0;
    if (extend) {
      worker.grantLease(now.ms(), state.times);
    }
    long acknowledged = sameProcess ? worker.ends.nextToAcknowledge() : 0;
    boolean bind = extend || acknowledged > 0;
    long connection = bind ? worker.connection.bound() : ProcessConnection.UNKNOWN;
    // A call that waits at a new process with a number of the previous one would discard its ends.
    boolean mayWait = acknowledged == 0 || connection != ProcessConnection.UNKNOWN;
    state.emit(
        new JobEffect.HoldWorker(
            worker.callee(), acknowledged, connection, untilMs, mayWait ? waitMs : 0, refresh));
  }

  private static boolean mayBeAtWorker(Placement placement) {
    return placement.phase != Phase.ORDERED;
  }
}
