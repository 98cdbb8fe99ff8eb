package dev.bambootray.core.worker;

import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A command to a worker agent; it carries the ownership of its sender and is refused if that is
 * outdated.
 */
public sealed interface WorkerCommand {

  /** Returns the ownership under which the command is sent. */
  Ownership ownership();

  /**
   * Raises the worker's epoch, so that it refuses commands of earlier owners, and reads its tasks.
   *
   * @param ownership the sender's ownership of the region
   */
  record Adopt(Ownership ownership) implements WorkerCommand {}

  /**
   * Reserves resources for a gang member.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   * @param key its request
   * @param template its template
   * @param members number of members of the gang
   * @param firstAccelerator index of the first of the adjacent accelerators
   * @param resources the resources to reserve
   * @param leaseMs how long to hold them without renewal, in milliseconds
   */
  record Reserve(
      Ownership ownership,
      TaskId task,
      RequestKey key,
      TemplateId template,
      int members,
      int firstAccelerator,
      Resources resources,
      long leaseMs)
      implements WorkerCommand {}

  /**
   * Starts a reserved gang member.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   * @param parametersJson parameters of the request as a JSON object
   * @param maxRunMs run time after which the worker stops it, in milliseconds
   * @param checkpoint name of the checkpoint to resume from, or null
   * @param traceparent W3C trace context, or empty
   */
  record Start(
      Ownership ownership,
      TaskId task,
      String parametersJson,
      long maxRunMs,
      @Nullable String checkpoint,
      String traceparent)
      implements WorkerCommand {}

  /**
   * Runs a service request in one slot; the reply is its outcome.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   * @param key its request
   * @param template its template
   * @param parametersJson parameters of the request as a JSON object
   * @param maxRunMs run time after which the worker stops it, in milliseconds
   * @param traceparent W3C trace context, or empty
   */
  record Run(
      Ownership ownership,
      TaskId task,
      RequestKey key,
      TemplateId template,
      String parametersJson,
      long maxRunMs,
      String traceparent)
      implements WorkerCommand {}

  /**
   * Stops a task or releases its reservation.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   */
  record Stop(Ownership ownership, TaskId task) implements WorkerCommand {}

  /**
   * Makes a task write a checkpoint and stop.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   */
  record Checkpoint(Ownership ownership, TaskId task) implements WorkerCommand {}

  /**
   * Limits the processor time of a task.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   * @param percent share of its granted processor time, 1 to 100
   */
  record Throttle(Ownership ownership, TaskId task, int percent) implements WorkerCommand {}

  /**
   * Lets the worker drop its record of ended tasks whose outcome is durable.
   *
   * @param ownership the sender's ownership of the region
   * @param tasks the tasks
   */
  record Acknowledge(Ownership ownership, List<TaskId> tasks) implements WorkerCommand {}

  /**
   * Asks for the state of a task on a fresh connection, waiting for its end if asked to.
   *
   * @param ownership the sender's ownership of the region
   * @param task the task
   * @param waitMs how long to wait for the task's end, in milliseconds; 0 to answer at once
   */
  record QueryTask(Ownership ownership, TaskId task, long waitMs) implements WorkerCommand {}

  /**
   * Waits for events of the worker and renews the leases of all its tasks.
   *
   * @param ownership the sender's ownership of the region
   * @param afterSequence sequence number of the last event received
   * @param waitMs how long to wait if there is none, in milliseconds
   * @param leaseMs new lease of its tasks, in milliseconds
   */
  record PollEvents(Ownership ownership, long afterSequence, long waitMs, long leaseMs)
      implements WorkerCommand {}
}
