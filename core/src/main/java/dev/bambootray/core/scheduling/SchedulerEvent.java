package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.TaskUsage;
import java.util.List;

/** An input of the region scheduler. */
public sealed interface SchedulerEvent {

  /**
   * A job entered the queue.
   *
   * @param job the job
   */
  record JobSubmitted(QueuedJob job) implements SchedulerEvent {}

  /**
   * Callers cancelled jobs, queued or running.
   *
   * @param keys the jobs
   */
  record JobsCancelled(List<RequestKey> keys) implements SchedulerEvent {}

  /**
   * A worker holds the resources of a member.
   *
   * @param task the member
   */
  record MemberReserved(TaskId task) implements SchedulerEvent {}

  /**
   * A worker refused to reserve or start a member; the member did not run.
   *
   * @param task the member
   * @param reason reason of the refusal
   */
  record MemberRefused(TaskId task, RefusalReason reason) implements SchedulerEvent {}

  /**
   * The intent to start an attempt is durable, or need not be.
   *
   * @param attempt the attempt named by {@link SchedulerEffect.AttemptReserved}
   */
  record AttemptConfirmed(AttemptToken attempt) implements SchedulerEvent {}

  /**
   * The intent to start an attempt could not be recorded; the attempt must be released.
   *
   * @param attempt the attempt
   */
  record AttemptRejected(AttemptToken attempt) implements SchedulerEvent {}

  /**
   * A member runs.
   *
   * @param task the member
   */
  record MemberStarted(TaskId task) implements SchedulerEvent {}

  /**
   * A member ended with a result.
   *
   * @param task the member
   * @param resultJson its result as JSON
   */
  record TaskFinished(TaskId task, String resultJson) implements SchedulerEvent {}

  /**
   * A member ended with an error.
   *
   * @param task the member
   * @param message the error
   */
  record TaskFailed(TaskId task, String message) implements SchedulerEvent {}

  /**
   * A member was stopped, by command or because its lease lapsed.
   *
   * @param task the member
   */
  record TaskStopped(TaskId task) implements SchedulerEvent {}

  /**
   * A member wrote a checkpoint and stopped.
   *
   * @param task the member
   * @param checkpoint name of the checkpoint
   */
  record TaskCheckpointed(TaskId task, String checkpoint) implements SchedulerEvent {}

  /**
   * A worker that was just adopted holds a task of an earlier owner.
   *
   * @param worker the worker
   * @param snapshot the task
   * @param job the job that it belongs to
   */
  record TaskAdopted(WorkerId worker, TaskSnapshot snapshot, QueuedJob job)
      implements SchedulerEvent {}

  /**
   * All reachable workers were adopted and their tasks reported; incomplete gangs among them must
   * be released and placement may begin.
   */
  record AdoptionCompleted() implements SchedulerEvent {}

  /**
   * A declared worker was adopted and takes work.
   *
   * @param worker the worker
   */
  record WorkerJoined(WorkerId worker) implements SchedulerEvent {}

  /**
   * A worker is lost, and with it all its tasks.
   *
   * @param worker the worker
   */
  record WorkerLost(WorkerId worker) implements SchedulerEvent {}

  /**
   * A worker takes no new work; its running tasks continue.
   *
   * @param worker the worker
   */
  record WorkerLeaving(WorkerId worker) implements SchedulerEvent {}

  /**
   * A worker reported usage.
   *
   * @param worker the worker
   * @param usage readings of its tasks, each with its age
   */
  record UsageReported(WorkerId worker, List<TaskUsage> usage) implements SchedulerEvent {}

  /**
   * A new declaration is in force.
   *
   * @param declaration the declaration
   */
  record DeclarationChanged(Declaration declaration) implements SchedulerEvent {}

  /** Time has passed. */
  record Tick() implements SchedulerEvent {}
}
