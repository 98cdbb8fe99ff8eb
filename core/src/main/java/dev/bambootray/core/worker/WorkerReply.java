package dev.bambootray.core.worker;

import dev.bambootray.core.model.RequestError;
import java.util.List;

/** The outcome of a {@link WorkerCommand}. */
public sealed interface WorkerReply {

  /**
   * The worker was adopted.
   *
   * @param tasks all tasks that it holds or retains
   * @param sequence sequence number of its last event
   * @param leaving whether it takes no new work
   * @param aliveForMs how long the agent has run without a restart, in milliseconds; a task of
   *     which it has no record certainly did not run only if the agent is older than the attempt
   */
  record Adopted(List<TaskSnapshot> tasks, long sequence, boolean leaving, long aliveForMs)
      implements WorkerReply {}

  /** The command was carried out. */
  record Done() implements WorkerReply {}

  /**
   * The state of a task: the outcome of {@code Run} or {@code QueryTask}.
   *
   * @param snapshot the state
   */
  record TaskState(TaskSnapshot snapshot) implements WorkerReply {}

  /**
   * Events of the worker.
   *
   * @param events the events, oldest first
   * @param usage delayed usage measurements
   * @param leaving whether the worker takes no new work
   */
  record Events(List<WorkerEvent> events, List<TaskUsage> usage, boolean leaving)
      implements WorkerReply {}

  /**
   * The worker refused; the command had no effect.
   *
   * @param reason why
   * @param highestEpoch the highest epoch that the worker has seen
   */
  record Refused(RefusalReason reason, long highestEpoch) implements WorkerReply {}

  /**
   * No byte of the command was written, so it had no effect.
   *
   * @param error what went wrong
   */
  record NotSent(RequestError error) implements WorkerReply {}

  /**
   * The command was written, at least in part, and no complete reply arrived; it may have taken
   * effect.
   *
   * @param error what went wrong
   */
  record NoReply(RequestError error) implements WorkerReply {}
}
