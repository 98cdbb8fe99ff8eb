package dev.bambootray.core.routing;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;

/** An action that the target router asks its caller to carry out. */
public sealed interface RouterEffect {

  /**
   * Records the intent to run a request that is not repeatable; the reply is {@link
   * RouterEvent.IntentRecorded} or {@link RouterEvent.IntentRejected}.
   *
   * @param key the request
   * @param task the run
   * @param worker where it will run
   */
  record RecordIntent(RequestKey key, TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Runs a request on a target.
   *
   * @param key the request
   * @param task the run
   * @param worker where
   * @param maxRunMs run time after which the worker stops it, in milliseconds
   */
  record RunOnTarget(RequestKey key, TaskId task, WorkerId worker, long maxRunMs)
      implements RouterEffect {}

  /**
   * Stops a run whose answer is no longer needed.
   *
   * @param task the run
   * @param worker where
   */
  record CancelRun(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Lets the worker drop a run that has ended and whose result is not needed. It is emitted only
   * for repeatable requests: the worker's record of any other run proves whether it ran, until the
   * answer is durable.
   *
   * @param task the run
   * @param worker where
   */
  record AcknowledgeRun(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Queries the status of a run on a fresh connection and waits for the end of the run.
   *
   * @param task the run
   * @param worker where
   * @param waitMs how long to wait for the run's end, in milliseconds
   */
  record QueryRunStatus(TaskId task, WorkerId worker, long waitMs) implements RouterEffect {}

  /**
   * Probes a target on a fresh connection.
   *
   * @param worker the worker
   */
  record ProbeTarget(WorkerId worker) implements RouterEffect {}

  /**
   * Closes the connection that carries a run because the reply is overdue.
   *
   * @param task the run
   * @param worker the worker
   */
  record CloseConnection(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Answers a request with a result.
   *
   * @param key the request
   * @param resultJson the result as JSON
   * @param task the run that gave it, to be acknowledged once the answer is durable
   * @param worker where it ran
   */
  record CompleteRequest(RequestKey key, String resultJson, TaskId task, WorkerId worker)
      implements RouterEffect {}

  /**
   * Answers a request with an error.
   *
   * @param key the request
   * @param error the final error, which says whether the request ran
   */
  record RefuseRequest(RequestKey key, RequestError error) implements RouterEffect {}
}
