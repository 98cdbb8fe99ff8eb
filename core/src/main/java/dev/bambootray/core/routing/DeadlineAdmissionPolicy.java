package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.QUEUE;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Refuses a request whose expected wait exceeds its deadline or whose workspace's queue is full.
 */
final class DeadlineAdmissionPolicy implements AdmissionPolicy {
  /**
   * How long a service may have no open target, after a takeover or the loss of all its targets,
   * before its requests are refused, in milliseconds.
   */
  static final long NO_TARGET_GRACE_MS = 5_000;

  private static final long MIN_RETRY_AFTER_MS = 100;
  private static final long MAX_RETRY_AFTER_MS = 60_000;

  @Override
  public @Nullable RequestError check(RouterState state, PendingRequest request, long nowMs) {
    ServicePool pool = request.pool;
    WorkspaceId workspace = request.key().workspace();
    if (request.spec().deadlineAtMs() <= nowMs) {
      return refusal(state, pool, "the deadline passed before the request arrived");
    }
    if (pool.queue.sizeOf(workspace) >= state.maxQueuedOf(workspace)) {
      return refusal(state, pool, "the workspace's queue is full");
    }
    if (lacksTargetTooLong(pool, nowMs)) {
      return refusal(state, pool, "no target of the service is available");
    }
    if (pool.capacity() == 0) {
      return null;
    }
    double ahead = pool.queue.requestsAhead(workspace, state.weightOf(workspace));
    return canMeetDeadline(pool, request, ahead, nowMs)
        ? null
        : refusal(state, pool, "the expected wait exceeds the deadline");
  }

  static boolean lacksTargetTooLong(ServicePool pool, long nowMs) {
    return pool.noTargetSinceMs >= 0 && nowMs - pool.noTargetSinceMs >= NO_TARGET_GRACE_MS;
  }

  static boolean canMeetDeadline(
      ServicePool pool, PendingRequest request, double ahead, long nowMs) {
    long waitMs = pool.expectedWaitMs(ahead);
    if (waitMs == 0) {
      return true;
    }
    RunTimeStatistics runTimes = request.runTimes;
    long runMs = runTimes.hasQuantiles() ? runTimes.quantileMs(0.5) : 0;
    return nowMs + waitMs + runMs <= request.spec().deadlineAtMs();
  }

  static RequestError refusal(RouterState state, ServicePool pool, String message) {
    return RequestError.notRun(QUEUE, "local", message, retryAfterMs(state, pool));
  }

  /**
   * Returns the expected time until the queue is drained, with random jitter so that refused
   * callers do not all retry at the same time.
   */
  static long retryAfterMs(RouterState state, ServicePool pool) {
    long drainMs =
        pool.capacity() == 0 ? NO_TARGET_GRACE_MS : pool.expectedWaitMs(pool.queue.size());
    long baseMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, drainMs));
    return baseMs + state.random.nextLong(baseMs / 2 + 1);
  }
}
