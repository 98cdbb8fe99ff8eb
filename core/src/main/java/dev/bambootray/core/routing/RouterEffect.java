package dev.bambootray.core.routing;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;

/** What the target router wants done. */
public sealed interface RouterEffect {

  /**
   * Make the intent to run durable, for a request that is not repeatable; reply with {@link
   * RouterEvent.IntentRecorded} or {@link RouterEvent.IntentRejected}.
   *
   * @param key the request
   * @param task the run
   * @param worker where it will run
   */
  record RecordIntent(RequestKey key, TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Run a request on a target.
   *
   * @param key the request
   * @param task the run
   * @param worker where
   * @param maxRunMs run time after which the worker stops it, in milliseconds
   */
  record RunOnTarget(RequestKey key, TaskId task, WorkerId worker, long maxRunMs)
      implements RouterEffect {}

  /**
   * Stop a run whose answer is no longer wanted.
   *
   * @param task the run
   * @param worker where
   */
  record CancelRun(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Let the worker forget a run that has ended and whose result is not needed. It is asked for only
   * if the request is repeatable; the worker's memory of any other run proves whether it ran until
   * the answer is durable.
   *
   * @param task the run
   * @param worker where
   */
  record ForgetRun(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * Ask for the state of a run on a fresh connection and wait for its end.
   *
   * @param task the run
   * @param worker where
   * @param waitMs how long to wait for the run's end, in milliseconds
   */
  record QueryFate(TaskId task, WorkerId worker, long waitMs) implements RouterEffect {}

  /**
   * Probe a target on a fresh connection.
   *
   * @param worker the worker
   */
  record ProbeTarget(WorkerId worker) implements RouterEffect {}

  /**
   * Close the connection that carries a run because it went silent.
   *
   * @param task the run
   * @param worker the worker
   */
  record CloseConnection(TaskId task, WorkerId worker) implements RouterEffect {}

  /**
   * A request ended with a result.
   *
   * @param key the request
   * @param resultJson the result as JSON
   * @param task the run that gave it, to be acknowledged once the answer is durable
   * @param worker where it ran
   */
  record CompleteRequest(RequestKey key, String resultJson, TaskId task, WorkerId worker)
      implements RouterEffect {}

  /**
   * A request is given up.
   *
   * @param key the request
   * @param error the final error, which says whether the request ran
   */
  record RefuseRequest(RequestKey key, RequestError error) implements RouterEffect {}
}
