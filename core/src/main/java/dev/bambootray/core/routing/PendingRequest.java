package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A request without a final answer. */
final class PendingRequest extends Timed {
  /** Where a request stands. */
  enum State {
    QUEUED,
    BACKOFF,
    INTENT,
    RUNNING,
    ANSWERED
  }

  final QueuedRequest request;
  final ServicePool pool;
  final RunTimeEstimate runTimes;
  final List<Run> runs = new ArrayList<>(1);
  State state = State.QUEUED;
  int sends;
  int redirects;
  int intentRejections;
  boolean hedged;
  boolean extraReserved;
  boolean firstCounted;

  /** The next run is a retry of one that may have run, so it is paid from the budget. */
  boolean nextRunIsExtra;

  /** Targets on which it failed; null until the first failure. */
  @Nullable List<Target> failedOn;

  /** The target that was blamed for its first failure, or null. */
  @Nullable Target blamed;

  /** Why the last run did not answer; the final answer if no further run is possible. */
  @Nullable RequestError lastError;

  PendingRequest(QueuedRequest request, ServicePool pool, RunTimeEstimate runTimes) {
    this.request = request;
    this.pool = pool;
    this.runTimes = runTimes;
  }

  RequestSpec spec() {
    return request.spec();
  }

  TemplateDeclaration template() {
    return request.template();
  }

  RequestKey key() {
    return request.spec().key();
  }

  boolean isRepeatable() {
    return request.spec().repeatable();
  }

  boolean isAnswered() {
    return state == State.ANSWERED;
  }

  boolean hasFailedOn(Target target) {
    return failedOn != null && failedOn.contains(target);
  }

  void addFailedOn(Target target) {
    if (failedOn == null) {
      failedOn = new ArrayList<>(2);
    }
    if (!failedOn.contains(target)) {
      failedOn.add(target);
    }
  }
}
