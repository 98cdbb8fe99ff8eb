package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.DISPATCH;
import static dev.bambootray.core.model.RequestStep.QUEUE;
import static dev.bambootray.core.model.RequestStep.RUN;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Ends each request with exactly one final answer, or gives it another run where that is allowed.
 */
final class RequestLifecycle {
  /**
   * Number of times that a request is sent elsewhere after a target refused it or was not reached.
   */
  private static final int MAX_REDIRECTS = 3;

  /**
   * Time after a cancellation at which the worker is asked whether the run has ended, in
   * milliseconds.
   */
  private static final long CANCEL_CONFIRM_MS = 500;

  private final RouterState state;
  private final TargetHealth health;
  private final Backoff retryBackoff = new Backoff(25, 1_000);

  RequestLifecycle(RouterState state, TargetHealth health) {
    this.state = state;
    this.health = health;
  }

  /** Answers a request with the result of a run and cancels its other runs. */
  void complete(PendingRequest request, Run run, String resultJson, long nowMs) {
    state.emit(
        new RouterEffect.CompleteRequest(request.key(), resultJson, run.task, run.target.worker));
    for (Run other : request.runs) {
      health.recordSuperseded(other, nowMs);
    }
    finish(request, true, nowMs);
  }

  /** Answers a request with an error. */
  void refuse(PendingRequest request, RequestError error, boolean cancelRuns, long nowMs) {
    state.emit(new RouterEffect.RefuseRequest(request.key(), error));
    finish(request, cancelRuns, nowMs);
  }

  /** Cancels a request on behalf of its caller. */
  void cancel(PendingRequest request, long nowMs) {
    RequestError error =
        new RequestError(
            wasSent(request) ? RUN : QUEUE,
            "local",
            "the request was cancelled",
            ranSoFar(request),
            false,
            null);
    refuse(request, error, true, nowMs);
  }

  /** Answers a request whose deadline has passed with an error. */
  void expire(PendingRequest request, long nowMs) {
    if (!wasSent(request) && request.lastError == null) {
      refuse(
          request,
          DeadlineAdmissionPolicy.refusal(state, request.pool, "the deadline passed in the queue"),
          true,
          nowMs);
      return;
    }
    RequestError error = request.lastError;
    if (error == null || wasSent(request)) {
      error = RequestError.unknown(RUN, peerOf(request), "the deadline passed during the run");
    }
    error = withRetryTime(request, error);
    // A run that is not repeatable may be half done, so it is not stopped.
    refuse(request, error, request.isRepeatable(), nowMs);
  }

  /** Refuses a request that waits in the queue. */
  void refuseQueued(PendingRequest request, String reason, long nowMs) {
    RequestError last = request.lastError;
    RequestError error =
        last != null
            ? withRetryTime(request, last)
            : DeadlineAdmissionPolicy.refusal(state, request.pool, reason);
    refuse(request, error, true, nowMs);
  }

  /** Queues a request again after a run that certainly did not start. */
  void redirect(PendingRequest request, Target refusing, String reason, long nowMs) {
    if (!request.runs.isEmpty() || isWaiting(request)) {
      return;
    }
    request.addFailedOn(refusing);
    if (++request.redirects > MAX_REDIRECTS) {
      RequestError last = request.lastError;
      refuse(
          request,
          last != null
              ? last
              : RequestError.notRun(
                  DISPATCH,
                  refusing.worker.value(),
                  reason,
                  DeadlineAdmissionPolicy.retryAfterMs(state, request.pool)),
          true,
          nowMs);
      return;
    }
    enqueue(request, true);
  }

  /**
   * Retries a request whose last run may have started, or answers it with the error of that run.
   */
  void retryOrGiveUp(PendingRequest request, RequestError error, long nowMs) {
    request.lastError = error;
    if (!request.runs.isEmpty() || isWaiting(request)) {
      return;
    }
    if (!tryRetry(request, nowMs)) {
      refuse(request, withRetryTime(request, error), true, nowMs);
    }
  }

  /**
   * Queues a repeatable request again after its run was lost or stopped with its worker, or answers
   * it with the error of that run. This does not count against the retry budget: the new run
   * replaces the old one, and a lost worker held only a few runs.
   */
  void requeueOrGiveUp(PendingRequest request, RequestError error, long nowMs) {
    request.lastError = error;
    if (!request.runs.isEmpty() || isWaiting(request)) {
      return;
    }
    if (request.isRepeatable() && request.sends < maxAttempts(request)) {
      enqueue(request, true);
    } else {
      refuse(request, withRetryTime(request, error), true, nowMs);
    }
  }

  private static int maxAttempts(PendingRequest request) {
    return Math.max(1, request.template().maxAttempts());
  }

  /**
   * Schedules a retry if the retry budget allows it, even while the status of an earlier run is
   * unknown; returns whether it did.
   */
  boolean tryRetry(PendingRequest request, long nowMs) {
    if (!request.isRepeatable()
        || request.sends >= maxAttempts(request)
        || request.spec().deadlineAtMs() <= nowMs
        || !request.pool.budget.reserve(state.policy().retryBudgetShare(), nowMs)) {
      return false;
    }
    request.extraReserved = true;
    request.nextRunIsExtra = true;
    long delayMs = retryBackoff.delayMs(request.sends - 1, state.random);
    if (delayMs == 0) {
      enqueue(request, true);
    } else {
      request.state = PendingRequest.State.BACKOFF;
      state.timers.schedule(request, Math.min(nowMs + delayMs, request.spec().deadlineAtMs()));
    }
    return true;
  }

  /** Puts a request into its queue. */
  void enqueue(PendingRequest request, boolean front) {
    request.state = PendingRequest.State.QUEUED;
    state.timers.schedule(request, request.spec().deadlineAtMs());
    request.pool.queue.add(request, state.weightOf(request.key().workspace()), front);
  }

  /**
   * Stops waiting for a run whose answer is no longer needed, and cancels it if asked to; its slot
   * stays taken until it has ended.
   */
  void abandon(Run run, boolean cancel, long nowMs) {
    if (run.phase == Run.Phase.INTENT) {
      state.removeRun(run);
      return;
    }
    run.hedgeAtMs = Run.NEVER;
    if (run.phase != Run.Phase.ENDED && cancel) {
      run.cancelled = true;
      run.statusCheckAtMs = Math.min(run.statusCheckAtMs, nowMs + CANCEL_CONFIRM_MS);
      state.emit(new RouterEffect.CancelRun(run.task, run.target.worker));
    }
    state.scheduleRun(run);
  }

  private void finish(PendingRequest request, boolean cancelRuns, long nowMs) {
    boolean queued = request.state == PendingRequest.State.QUEUED;
    request.state = PendingRequest.State.ANSWERED;
    state.requests.remove(request.key());
    state.timers.cancel(request);
    if (queued) {
      request.pool.queue.remove(request);
    }
    if (request.extraReserved) {
      request.extraReserved = false;
      request.pool.budget.release();
    }
    if (!request.runs.isEmpty()) {
      for (Run run : List.copyOf(request.runs)) {
        abandon(run, cancelRuns, nowMs);
      }
    }
  }

  private RequestError withRetryTime(PendingRequest request, RequestError error) {
    if (!request.isRepeatable() || error.retryAfterMs() != null) {
      return error;
    }
    @Nullable Long retryAfterMs = DeadlineAdmissionPolicy.retryAfterMs(state, request.pool);
    return new RequestError(
        error.step(), error.peer(), error.message(), error.ran(), true, retryAfterMs);
  }

  private static boolean isWaiting(PendingRequest request) {
    return request.state == PendingRequest.State.QUEUED
        || request.state == PendingRequest.State.BACKOFF;
  }

  private static boolean wasSent(PendingRequest request) {
    for (Run run : request.runs) {
      if (run.phase != Run.Phase.INTENT) {
        return true;
      }
    }
    return false;
  }

  private static ExecutionStatus ranSoFar(PendingRequest request) {
    if (wasSent(request)) {
      return ExecutionStatus.UNKNOWN;
    }
    return request.lastError == null ? ExecutionStatus.NO : request.lastError.ran();
  }

  private static String peerOf(PendingRequest request) {
    return request.runs.isEmpty() ? "local" : request.runs.get(0).target.worker.value();
  }
}
