package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.List;

/** An event that the target router handles. */
public sealed interface RouterEvent {

  /**
   * A service request arrived.
   *
   * @param request the request
   */
  record RequestQueued(QueuedRequest request) implements RouterEvent {}

  /**
   * Callers cancelled requests, queued or running.
   *
   * @param keys the requests
   */
  record RequestsCancelled(List<RequestKey> keys) implements RouterEvent {}

  /**
   * A worker was adopted; its targets take requests.
   *
   * @param worker the worker
   */
  record TargetJoined(WorkerId worker) implements RouterEvent {}

  /**
   * A worker no longer takes new requests.
   *
   * @param worker the worker
   */
  record TargetLeaving(WorkerId worker) implements RouterEvent {}

  /**
   * A worker is lost, and with it all its runs.
   *
   * @param worker the worker
   */
  record TargetLost(WorkerId worker) implements RouterEvent {}

  /**
   * A worker that was just adopted holds a run of an earlier owner.
   *
   * @param worker the worker
   * @param snapshot the run
   * @param request the request that it belongs to
   */
  record RunAdopted(WorkerId worker, TaskSnapshot snapshot, QueuedRequest request)
      implements RouterEvent {}

  /**
   * The intent to run is durable or does not have to be.
   *
   * @param task the run named by {@link RouterEffect.RecordIntent}
   */
  record IntentRecorded(TaskId task) implements RouterEvent {}

  /**
   * The intent to run could not be recorded; nothing ran.
   *
   * @param task the run
   */
  record IntentRejected(TaskId task) implements RouterEvent {}

  /**
   * A run ended with a result.
   *
   * @param task the run
   * @param resultJson its result as JSON
   */
  record RunAnswered(TaskId task, String resultJson) implements RouterEvent {}

  /**
   * A run ended with an error.
   *
   * @param task the run
   * @param message the error
   */
  record RunFailed(TaskId task, String message) implements RouterEvent {}

  /**
   * A target refused; nothing ran.
   *
   * @param task the run
   * @param reason why
   */
  record RunRefused(TaskId task, RefusalReason reason) implements RouterEvent {}

  /**
   * No byte was written; nothing ran.
   *
   * @param task the run
   * @param reason what went wrong
   */
  record RunNotSent(TaskId task, String reason) implements RouterEvent {}

  /**
   * The request was written but no complete reply arrived; whether it ran is unknown.
   *
   * @param task the run
   * @param reason what went wrong
   */
  record RunNoReply(TaskId task, String reason) implements RouterEvent {}

  /**
   * A worker reported the status of a run on a fresh connection.
   *
   * @param snapshot the status
   */
  record RunStatusReceived(TaskSnapshot snapshot) implements RouterEvent {}

  /**
   * The status of a run could not be queried from its worker.
   *
   * @param task the run
   * @param reason what went wrong
   */
  record RunStatusUnavailable(TaskId task, String reason) implements RouterEvent {}

  /**
   * A target answered a probe.
   *
   * @param worker the worker
   */
  record ProbeAnswered(WorkerId worker) implements RouterEvent {}

  /**
   * A target did not answer a probe in time.
   *
   * @param worker the worker
   */
  record ProbeMissed(WorkerId worker) implements RouterEvent {}

  /**
   * A new declaration took effect.
   *
   * @param declaration the declaration
   */
  record DeclarationChanged(Declaration declaration) implements RouterEvent {}

  /** Time has passed. */
  record Tick() implements RouterEvent {}
}
