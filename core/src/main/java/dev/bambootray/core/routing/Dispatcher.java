package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.RECORD;

import dev.bambootray.core.model.RequestError;

/** Takes requests from the queues and starts their runs. */
final class Dispatcher {
  private static final int MAX_INTENT_REJECTIONS = 3;

  /**
   * Longest time without a reply before the worker is asked for the status of a run, in
   * milliseconds.
   */
  static final long MAX_STATUS_CHECK_DELAY_MS = 1_000;

  private static final long MIN_STATUS_CHECK_DELAY_MS = 200;

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final TargetSelector targetSelector;
  private final HedgePolicy hedging;
  private final Backoff intentBackoff = new Backoff(200, 2_000);

  Dispatcher(
      RouterState state,
      RequestLifecycle lifecycle,
      TargetSelector targetSelector,
      HedgePolicy hedging) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.targetSelector = targetSelector;
    this.hedging = hedging;
  }

  /** Starts runs as long as requests are queued and a target can take them. */
  void dispatch(ServicePool pool, long nowMs) {
    while (pool.queue.size() > 0) {
      PendingRequest request = pool.queue.peek();
      Target target = request == null ? null : targetSelector.choose(state, request, null, nowMs);
      if (request == null || target == null) {
        return;
      }
      pool.queue.poll(request.runTimes.meanMs());
      start(request, target, nowMs);
    }
  }

  private void start(PendingRequest request, Target target, long nowMs) {
    if (request.nextRunIsExtra && !spendReserved(request, nowMs)) {
      return;
    }
    Run run = new Run(state.nextTask(), request, target);
    state.addRun(run);
    if (request.isRepeatable()) {
      send(run, nowMs);
    } else {
      request.state = PendingRequest.State.INTENT;
      state.emit(new RouterEffect.RecordIntent(request.key(), run.task, target.worker));
    }
  }

  private boolean spendReserved(PendingRequest request, long nowMs) {
    request.nextRunIsExtra = false;
    request.extraReserved = false;
    request.pool.budget.release();
    if (request.pool.budget.spend(state.policy().retryBudgetShare(), nowMs)) {
      return true;
    }
    request.state = PendingRequest.State.RUNNING;
    RequestError error = request.lastError;
    if (request.runs.isEmpty() && error != null) {
      lifecycle.refuse(request, error, true, nowMs);
    }
    return false;
  }

  /** Sends a run whose intent is durable or does not have to be. */
  void intentRecorded(Run run, long nowMs) {
    if (run.phase != Run.Phase.INTENT) {
      return;
    }
    if (run.target.isOpen() || run.target.isEjected()) {
      send(run, nowMs);
      return;
    }
    state.removeRun(run);
    lifecycle.redirect(run.request, run.target, "the target takes no new requests", nowMs);
  }

  /**
   * Retries a run whose intent could not be recorded, or refuses its request after several
   * rejections or when its deadline is too near.
   */
  void intentRejected(Run run, long nowMs) {
    if (run.phase != Run.Phase.INTENT) {
      return;
    }
    PendingRequest request = run.request;
    state.removeRun(run);
    long delayMs = intentBackoff.delayMs(request.intentRejections, state.random);
    if (++request.intentRejections >= MAX_INTENT_REJECTIONS
        || nowMs + delayMs >= request.spec().deadlineAtMs()) {
      lifecycle.refuse(
          request,
          RequestError.notRun(
              RECORD,
              "local",
              "the intent to run could not be recorded",
              DeadlineAdmissionPolicy.retryAfterMs(state, request.pool)),
          true,
          nowMs);
      return;
    }
    request.state = PendingRequest.State.BACKOFF;
    state.timers.schedule(request, nowMs + delayMs);
  }

  private void send(Run run, long nowMs) {
    PendingRequest request = run.request;
    Target target = run.target;
    run.phase = Run.Phase.SENT;
    run.sentAtMs = nowMs;
    target.lastSentAtMs = nowMs;
    target.pool.sendsSinceExploration++;
    request.state = PendingRequest.State.RUNNING;
    request.sends++;
    if (!request.firstRunCounted) {
      request.firstRunCounted = true;
      request.pool.budget.recordFirst(nowMs);
    }
    state.emit(
        new RouterEffect.RunOnTarget(
            request.key(), run.task, target.worker, maxRunMs(request, nowMs)));
    run.statusCheckAtMs = nowMs + statusCheckDelayMs(request);
    run.hedgeAtMs = hedging.hedgeAtMs(state, run, nowMs);
    state.scheduleRun(run);
  }

  private static long maxRunMs(PendingRequest request, long nowMs) {
    long maxRunMs = request.template().maxRunMs();
    // A repeatable request is stopped at its deadline because a late result is useless. Any other
    // run must not be stopped half-way, even if its caller no longer waits.
    return request.isRepeatable()
        ? Math.max(1, Math.min(maxRunMs, request.spec().deadlineAtMs() - nowMs))
        : maxRunMs;
  }

  private static long statusCheckDelayMs(PendingRequest request) {
    RunTimeStatistics runTimes = request.runTimes;
    if (!runTimes.hasQuantiles()) {
      return MAX_STATUS_CHECK_DELAY_MS;
    }
    return Math.max(
        MIN_STATUS_CHECK_DELAY_MS,
        Math.min(MAX_STATUS_CHECK_DELAY_MS, 2 * runTimes.quantileMs(0.99)));
  }

  /**
   * Starts a second run of a request whose run takes unusually long, if the hedge policy and the
   * retry budget allow it.
   */
  void hedge(Run run, long nowMs) {
    run.hedgeAtMs = Run.NEVER;
    PendingRequest request = run.request;
    if (!run.isWanted()
        || request.hedged
        || request.state != PendingRequest.State.RUNNING
        || request.runs.size() != 1
        || !hedging.shouldHedge(run, nowMs)) {
      return;
    }
    Target target = targetSelector.choose(state, request, run.target, nowMs);
    if (target != null
        && !target.isSlow()
        && request.pool.budget.spend(state.policy().retryBudgetShare(), nowMs)) {
      request.hedged = true;
      Run second = new Run(state.nextTask(), request, target);
      state.addRun(second);
      send(second, nowMs);
    }
  }
}
