package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.DISPATCH;
import static dev.bambootray.core.model.RequestStep.RUN;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.worker.RefusalReason;

/** Applies the outcomes of runs to their requests and to the health of their targets. */
final class RunOutcomeHandler {
  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final TargetHealth health;

  RunOutcomeHandler(RouterState state, RequestLifecycle lifecycle, TargetHealth health) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.health = health;
  }

  /** Handles a run that ended with a result after the given run time. */
  void answered(Run run, String resultJson, long runMs, long nowMs) {
    state.removeRun(run);
    if (run.phase == Run.Phase.ENDED) {
      return;
    }
    health.recordSuccess(run, runMs, nowMs);
    if (run.isWanted()) {
      lifecycle.complete(run.request, run, resultJson, nowMs);
    } else {
      acknowledge(run);
    }
  }

  /** Handles a run that ended with an error. */
  void failed(Run run, String message, long nowMs) {
    state.removeRun(run);
    if (run.phase == Run.Phase.ENDED) {
      return;
    }
    acknowledge(run);
    if (!run.isWanted()) {
      return;
    }
    health.recordFailure(run, nowMs);
    lifecycle.retryOrGiveUp(
        run.request, RequestError.failed(RUN, run.target.worker.value(), message), nowMs);
  }

  /** Handles a run that was stopped before its end and may have taken effect in part. */
  void stopped(Run run, long nowMs) {
    state.removeRun(run);
    if (run.phase == Run.Phase.ENDED) {
      return;
    }
    acknowledge(run);
    if (!run.isWanted()) {
      return;
    }
    lifecycle.requeueOrGiveUp(
        run.request,
        RequestError.unknown(RUN, run.target.worker.value(), "the run was stopped"),
        nowMs);
  }

  /** Handles a run that its target refused. */
  void refused(Run run, RefusalReason reason, long nowMs) {
    state.removeRun(run);
    Target target = run.target;
    switch (reason) {
      case LEAVING -> target.setLeaving(true);
      case STALE_EPOCH, NOT_ADOPTED -> target.setJoined(false);
      case NO_CAPACITY, UNKNOWN_TASK -> health.recordCapacityRefusal(target, nowMs);
      case INVALID -> {
        if (run.isWanted()) {
          lifecycle.refuse(
              run.request,
              RequestError.impossible(
                  DISPATCH, target.worker.value(), "the target refused the request as malformed"),
              true,
              nowMs);
        }
        return;
      }
    }
    didNotRun(run, "the target refused: " + reason, nowMs);
  }

  /** Handles a run of which no byte was sent. */
  void notSent(Run run, String reason, long nowMs) {
    state.removeRun(run);
    health.recordNotSent(run.target, nowMs);
    didNotRun(run, reason, nowMs);
  }

  /**
   * Handles a run that certainly did not start; its request may be sent again outside the retry
   * budget.
   */
  void didNotRun(Run run, String reason, long nowMs) {
    if (run.isWanted()) {
      run.request.sends--;
      lifecycle.redirect(run.request, run.target, reason, nowMs);
    }
  }

  private void acknowledge(Run run) {
    if (run.request.isRepeatable()) {
      state.emit(new RouterEffect.AcknowledgeRun(run.task, run.target.worker));
    }
  }

  /** Handles the failure of the connection of a run, whose status is then queried at once. */
  void noReply(Run run, long nowMs) {
    if (run.phase == Run.Phase.ENDED) {
      state.removeRun(run);
    } else if (run.phase == Run.Phase.SENT) {
      run.phase = Run.Phase.UNKNOWN;
      run.statusCheckAtMs = nowMs;
      state.scheduleRun(run);
    }
  }

  /** Handles the loss of a target and of all its runs. */
  void targetLost(Target target, long nowMs) {
    target.setJoined(false);
    target.lost = true;
    target.statusQueryInFlight = null;
    target.statusQueryQueue.clear();
    target.pool.targets.remove(target);
    state.timers.cancel(target);
    for (Run run : target.runs()) {
      state.removeRun(run);
      if (!run.isWanted() || run.phase == Run.Phase.ENDED) {
        continue;
      }
      if (run.phase == Run.Phase.INTENT) {
        lifecycle.redirect(run.request, target, "the worker was lost before the run", nowMs);
      } else {
        lifecycle.requeueOrGiveUp(
            run.request,
            RequestError.unknown(RUN, target.worker.value(), "the worker was lost during the run"),
            nowMs);
      }
    }
  }
}
