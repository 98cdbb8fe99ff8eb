package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A request that has no final answer yet. */
final class PendingRequest extends TimerEntry {
  /** Progress of a request. */
  enum State {
    /** It waits for a slot. */
    QUEUED,
    /** It waits before its next run. */
    BACKOFF,
    /** Its intent to run is being recorded. */
    INTENT,
    /** It was sent to a target. */
    RUNNING,
    /** It has its final answer. */
    ANSWERED
  }

  final QueuedRequest request;
  final ServicePool pool;
  final RunTimeStatistics runTimes;
  final List<Run> runs = new ArrayList<>(1);
  State state = State.QUEUED;
  int sends;
  int redirects;
  int intentRejections;
  boolean hedged;

  /** An extra run is reserved in the retry budget. */
  boolean extraReserved;

  boolean firstRunCounted;

  /** The next run retries one that may have started, so it is charged to the retry budget. */
  boolean nextRunIsExtra;

  /** Targets on which the request has failed; null until the first failure. */
  @Nullable List<Target> failedOn;

  /** The target whose failure streak counts the first failure of the request, or null. */
  @Nullable Target blamedTarget;

  /** Error of the last run, which becomes the final answer if no further run is possible. */
  @Nullable RequestError lastError;

  PendingRequest(QueuedRequest request, ServicePool pool, RunTimeStatistics runTimes) {
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
