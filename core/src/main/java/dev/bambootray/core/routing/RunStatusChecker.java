package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.RUN;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks workers for the status of runs whose connection failed or whose reply is overdue. Each
 * target gets one status query at a time, because probes and status queries share one connection to
 * it.
 */
final class RunStatusChecker {
  /** Time after which an unanswered status query counts as failed, in milliseconds. */
  private static final long QUERY_TIMEOUT_MS = 2_000;

  /**
   * How long a worker may hold back its reply until a run ends whose connection failed, in
   * milliseconds.
   */
  private static final long END_WAIT_MS = 500;

  /** Time between status queries for a run that is still running, in milliseconds. */
  private static final long RUNNING_RECHECK_MS = 1_000;

  /** Time between status queries for a run that was told to stop, in milliseconds. */
  private static final long STOPPING_RECHECK_MS = 500;

  /**
   * Time after the end of a run at which a missing reply shows that its connection is broken, in
   * milliseconds.
   */
  private static final long REPLY_OVERDUE_MS = 250;

  private static final long FIRST_RETRY_MS = 250;
  private static final long MAX_RETRY_MS = 2_000;

  /**
   * Number of replies that the run is unknown to its worker after which a request that is not
   * repeatable counts as not run.
   */
  private static final int UNKNOWN_REPLIES_NEEDED = 2;

  private final RouterState state;
  private final Map<TaskId, Run> queriedRuns = new HashMap<>();
  private final RequestLifecycle lifecycle;
  private final RunOutcomeHandler outcomes;
  private final TargetHealth health;

  RunStatusChecker(
      RouterState state,
      RequestLifecycle lifecycle,
      RunOutcomeHandler outcomes,
      TargetHealth health) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.outcomes = outcomes;
    this.health = health;
  }

  /**
   * Queries the status of a run whose status check is due, or queues the query while another one is
   * in flight.
   */
  void checkDue(Run run, long nowMs) {
    if (run.phase == Run.Phase.ENDED) {
      state.emit(new RouterEffect.CloseConnection(run.task, run.target.worker));
      state.removeRun(run);
      return;
    }
    Target target = run.target;
    if (target.statusQueryInFlight == run) {
      statusUnavailable(run.task, nowMs);
      return;
    }
    run.statusCheckAtMs = Run.NEVER;
    target.dropUnansweredQuery(nowMs);
    if (target.statusQueryInFlight != null || target.probeInFlight) {
      if (!run.statusQueryQueued) {
        run.statusQueryQueued = true;
        target.statusQueryQueue.addLast(run);
      }
      state.scheduleRun(run);
      return;
    }
    query(run, nowMs);
  }

  private void query(Run run, long nowMs) {
    Target target = run.target;
    target.statusQueryInFlight = run;
    target.lastQueryAtMs = nowMs;
    queriedRuns.put(run.task, run);
    long waitMs =
        run.phase == Run.Phase.UNKNOWN
                && target.statusQueryQueue.isEmpty()
                && run.unknownReplies == 0
            ? END_WAIT_MS
            : 0;
    state.emit(new RouterEffect.QueryRunStatus(run.task, target.worker, waitMs));
    run.statusCheckAtMs = nowMs + QUERY_TIMEOUT_MS + waitMs;
    state.scheduleRun(run);
  }

  /** Handles the status of a run that its worker reported in reply to a query. */
  void statusReceived(TaskSnapshot snapshot, long nowMs) {
    Run run = queriedRuns.remove(snapshot.task());
    if (run == null) {
      return;
    }
    Target target = run.target;
    health.markReachable(target);
    run.statusQueryFailures = 0;
    if (target.statusQueryInFlight == run) {
      target.statusQueryInFlight = null;
    }
    if (state.runs.get(run.task) == run && run.phase != Run.Phase.ENDED) {
      applyStatus(run, snapshot, nowMs);
    }
    queryNext(target, nowMs);
  }

  /** Applies the status of a run that its worker reported. */
  void applyStatus(Run run, TaskSnapshot snapshot, long nowMs) {
    String detail = snapshot.detail();
    switch (snapshot.phase()) {
      case FINISHED -> {
        boolean connected = run.hasConnection();
        boolean overdue = nowMs - run.sentAtMs > snapshot.ranForMs() + REPLY_OVERDUE_MS;
        outcomes.answered(run, detail == null ? "null" : detail, snapshot.ranForMs(), nowMs);
        awaitReply(run, connected, overdue, nowMs);
      }
      case FAILED -> {
        boolean connected = run.hasConnection();
        boolean overdue = nowMs - run.sentAtMs > snapshot.ranForMs() + REPLY_OVERDUE_MS;
        outcomes.failed(run, detail == null ? "the run failed" : detail, nowMs);
        awaitReply(run, connected, overdue, nowMs);
      }
      case STOPPED, CHECKPOINTED -> outcomes.stopped(run, nowMs);
      case RESERVED, RUNNING -> handleStillRunning(run, nowMs);
      case UNKNOWN -> handleUnknownToWorker(run, nowMs);
    }
  }

  private void awaitReply(Run run, boolean connected, boolean overdue, long nowMs) {
    if (!connected) {
      return;
    }
    if (overdue) {
      state.emit(new RouterEffect.CloseConnection(run.task, run.target.worker));
      return;
    }
    run.phase = Run.Phase.ENDED;
    run.hedgeAtMs = Run.NEVER;
    run.statusCheckAtMs = nowMs + REPLY_OVERDUE_MS;
    // The connection is still in use, so the slot stays taken until the reply arrives or the
    // connection is closed.
    run.target.addRun(run);
    state.runs.put(run.task, run);
    state.scheduleRun(run);
  }

  private void handleStillRunning(Run run, long nowMs) {
    if (run.cancelled) {
      state.emit(new RouterEffect.CancelRun(run.task, run.target.worker));
      run.statusCheckAtMs = nowMs + STOPPING_RECHECK_MS;
    } else {
      run.statusCheckAtMs = nowMs + (run.phase == Run.Phase.UNKNOWN ? 50 : RUNNING_RECHECK_MS);
    }
    state.scheduleRun(run);
  }

  private void handleUnknownToWorker(Run run, long nowMs) {
    if (run.hasConnection()) {
      state.emit(new RouterEffect.CloseConnection(run.task, run.target.worker));
      run.phase = Run.Phase.UNKNOWN;
    }
    run.unknownReplies++;
    // A command that was already sent may reach the worker after its first reply. A second run is
    // harmless only for a repeatable request.
    if (!run.request.isRepeatable() && run.unknownReplies < UNKNOWN_REPLIES_NEEDED) {
      run.statusCheckAtMs = nowMs + FIRST_RETRY_MS;
      state.scheduleRun(run);
      return;
    }
    state.removeRun(run);
    outcomes.didNotRun(run, "the worker does not know the run", nowMs);
  }

  /**
   * Handles a failed status query; the queries that are queued for the same target count as failed
   * too.
   */
  void statusUnavailable(TaskId task, long nowMs) {
    Run run = queriedRuns.remove(task);
    if (run == null) {
      return;
    }
    Target target = run.target;
    if (target.statusQueryInFlight == run) {
      target.statusQueryInFlight = null;
    }
    if (target.lost) {
      return;
    }
    health.markUnreachable(target, nowMs);
    List<Run> affected = new ArrayList<>(target.statusQueryQueue);
    target.statusQueryQueue.clear();
    if (state.runs.get(run.task) == run) {
      affected.add(run);
    }
    for (Run other : affected) {
      other.statusQueryQueued = false;
      scheduleRetry(other, nowMs);
      if (other.isWanted() && other.request.runs.size() == 1) {
        retryInParallel(other, nowMs);
      }
    }
  }

  private void scheduleRetry(Run run, long nowMs) {
    long delayMs =
        Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(10, run.statusQueryFailures++));
    run.statusCheckAtMs = nowMs + delayMs;
    state.scheduleRun(run);
  }

  /** Starts a second run of a repeatable request while the status of the first is unknown. */
  private void retryInParallel(Run run, long nowMs) {
    PendingRequest request = run.request;
    if (request.state != PendingRequest.State.RUNNING) {
      return;
    }
    request.addFailedOn(run.target);
    if (lifecycle.tryRetry(request, nowMs)) {
      request.lastError =
          RequestError.unknown(
              RUN, run.target.worker.value(), "the worker did not report the status of the run");
    }
  }

  /** Sends the next queued status query of the target, if no probe or query is in flight. */
  void queryNext(Target target, long nowMs) {
    if (target.statusQueryInFlight != null || target.probeInFlight) {
      return;
    }
    Run next = target.statusQueryQueue.pollFirst();
    if (next != null) {
      next.statusQueryQueued = false;
      query(next, nowMs);
    }
  }
}
