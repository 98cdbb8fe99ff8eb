package dev.bambootray.core.routing;

import static dev.bambootray.core.model.Step.RUN;

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
final class FateInquiry {
  /** Time after which an unanswered status query counts as failed, in milliseconds. */
  private static final long ANSWER_WITHIN_MS = 2_000;

  /**
   * How long a worker may hold back its reply until a run ends whose connection failed, in
   * milliseconds.
   */
  private static final long WAIT_FOR_END_MS = 500;

  /** Time between status queries for a run that is still running, in milliseconds. */
  private static final long RUNNING_PAUSE_MS = 1_000;

  /** Time between status queries for a run that was told to stop, in milliseconds. */
  private static final long STOPPING_PAUSE_MS = 500;

  /**
   * Time after the end of a run at which a missing reply shows that its connection is broken, in
   * milliseconds.
   */
  private static final long OVERDUE_MS = 250;

  private static final long FIRST_RETRY_MS = 250;
  private static final long MAX_RETRY_MS = 2_000;

  /**
   * Number of replies that the run is unknown to its worker after which a request that is not
   * repeatable counts as not run.
   */
  private static final int UNKNOWN_REPLIES_NEEDED = 2;

  private final RouterState state;
  private final Map<TaskId, Run> asked = new HashMap<>();
  private final RequestAnswers answers;
  private final RunOutcomes outcomes;
  private final TargetHealth health;

  FateInquiry(
      RouterState state, RequestAnswers lifecycle, RunOutcomes outcomes, TargetHealth health) {
    this.state = state;
    this.answers = lifecycle;
    this.outcomes = outcomes;
    this.health = health;
  }

  /**
   * Queries the status of a run whose status check is due, or queues the query while another one is
   * in flight.
   */
  void due(Run run, long nowMs) {
    if (run.phase == Run.Phase.ENDED) {
      state.emit(new RouterEffect.CloseConnection(run.task, run.target.worker));
      state.removeRun(run);
      return;
    }
    Target target = run.target;
    if (target.fateInFlight == run) {
      unavailable(run.task, nowMs);
      return;
    }
    run.fateAtMs = Run.NEVER;
    target.dropLostQuestion(nowMs);
    if (target.fateInFlight != null || target.probeInFlight) {
      if (!run.fateQueued) {
        run.fateQueued = true;
        target.fateQueue.addLast(run);
      }
      state.scheduleRun(run);
      return;
    }
    ask(run, nowMs);
  }

  private void ask(Run run, long nowMs) {
    Target target = run.target;
    target.fateInFlight = run;
    target.lastAskedAtMs = nowMs;
    asked.put(run.task, run);
    long waitMs =
        run.phase == Run.Phase.UNKNOWN && target.fateQueue.isEmpty() && run.unknownReplies == 0
            ? WAIT_FOR_END_MS
            : 0;
    state.emit(new RouterEffect.QueryFate(run.task, target.worker, waitMs));
    run.fateAtMs = nowMs + ANSWER_WITHIN_MS + waitMs;
    state.scheduleRun(run);
  }

  /** Handles the status of a run that its worker reported in reply to a query. */
  void known(TaskSnapshot snapshot, long nowMs) {
    Run run = asked.remove(snapshot.task());
    if (run == null) {
      return;
    }
    Target target = run.target;
    health.reachable(target);
    run.fateFailures = 0;
    if (target.fateInFlight == run) {
      target.fateInFlight = null;
    }
    if (state.runs.get(run.task) == run && run.phase != Run.Phase.ENDED) {
      apply(run, snapshot, nowMs);
    }
    askNext(target, nowMs);
  }

  /** Applies the status of a run that its worker reported. */
  void apply(Run run, TaskSnapshot snapshot, long nowMs) {
    String detail = snapshot.detail();
    switch (snapshot.phase()) {
      case FINISHED -> {
        boolean connected = run.hasConnection();
        boolean overdue = nowMs - run.sentAtMs > snapshot.ranForMs() + OVERDUE_MS;
        outcomes.answered(run, detail == null ? "null" : detail, snapshot.ranForMs(), nowMs);
        awaitReply(run, connected, overdue, nowMs);
      }
      case FAILED -> {
        boolean connected = run.hasConnection();
        boolean overdue = nowMs - run.sentAtMs > snapshot.ranForMs() + OVERDUE_MS;
        outcomes.failed(run, detail == null ? "the run failed" : detail, nowMs);
        awaitReply(run, connected, overdue, nowMs);
      }
      case STOPPED, CHECKPOINTED -> outcomes.stopped(run, nowMs);
      case RESERVED, RUNNING -> stillRunning(run, nowMs);
      case UNKNOWN -> unknownToWorker(run, nowMs);
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
    run.fateAtMs = nowMs + OVERDUE_MS;
    // The connection is still in use, so the slot stays taken until the reply arrives or the
    // connection is closed.
    run.target.addRun(run);
    state.runs.put(run.task, run);
    state.scheduleRun(run);
  }

  private void stillRunning(Run run, long nowMs) {
    if (run.cancelled) {
      state.emit(new RouterEffect.CancelRun(run.task, run.target.worker));
      run.fateAtMs = nowMs + STOPPING_PAUSE_MS;
    } else {
      run.fateAtMs = nowMs + (run.phase == Run.Phase.UNKNOWN ? 50 : RUNNING_PAUSE_MS);
    }
    state.scheduleRun(run);
  }

  private void unknownToWorker(Run run, long nowMs) {
    if (run.hasConnection()) {
      state.emit(new RouterEffect.CloseConnection(run.task, run.target.worker));
      run.phase = Run.Phase.UNKNOWN;
    }
    run.unknownReplies++;
    // A command that was already sent may reach the worker after its first reply. A second run is
    // harmless only for a repeatable request.
    if (!run.request.isRepeatable() && run.unknownReplies < UNKNOWN_REPLIES_NEEDED) {
      run.fateAtMs = nowMs + FIRST_RETRY_MS;
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
  void unavailable(TaskId task, long nowMs) {
    Run run = asked.remove(task);
    if (run == null) {
      return;
    }
    Target target = run.target;
    if (target.fateInFlight == run) {
      target.fateInFlight = null;
    }
    if (target.lost) {
      return;
    }
    health.unreachable(target, nowMs);
    List<Run> affected = new ArrayList<>(target.fateQueue);
    target.fateQueue.clear();
    if (state.runs.get(run.task) == run) {
      affected.add(run);
    }
    for (Run other : affected) {
      other.fateQueued = false;
      askLater(other, nowMs);
      if (other.isWanted() && other.request.runs.size() == 1) {
        retryBeside(other, nowMs);
      }
    }
  }

  private void askLater(Run run, long nowMs) {
    long delayMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(10, run.fateFailures++));
    run.fateAtMs = nowMs + delayMs;
    state.scheduleRun(run);
  }

  /** Starts a second run of a repeatable request while the status of the first is unknown. */
  private void retryBeside(Run run, long nowMs) {
    PendingRequest request = run.request;
    if (request.state != PendingRequest.State.RUNNING) {
      return;
    }
    request.addFailedOn(run.target);
    if (answers.tryRetry(request, nowMs)) {
      request.lastError =
          RequestError.unknown(
              RUN, run.target.worker.value(), "the worker did not report the status of the run");
    }
  }

  /** Sends the next queued status query of the target, if no probe or query is in flight. */
  void askNext(Target target, long nowMs) {
    if (target.fateInFlight != null || target.probeInFlight) {
      return;
    }
    Run next = target.fateQueue.pollFirst();
    if (next != null) {
      next.fateQueued = false;
      ask(next, nowMs);
    }
  }
}
