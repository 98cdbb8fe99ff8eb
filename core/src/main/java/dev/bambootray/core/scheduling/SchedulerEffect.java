package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.worker.TaskId;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** An action that the region scheduler requests from its caller. */
public sealed interface SchedulerEffect {

  /**
   * Reserve resources for a member.
   *
   * @param task the member
   * @param key its job
   * @param worker where
   * @param members number of members of the gang
   * @param firstAccelerator index of the first of the adjacent accelerators
   * @param resources the resources to reserve
   */
  record ReserveMember(
      TaskId task,
      RequestKey key,
      WorkerId worker,
      int members,
      int firstAccelerator,
      Resources resources)
      implements SchedulerEffect {}

  /**
   * All members of an attempt are reserved. The receiver records the intent if the job is not
   * repeatable and replies with {@link SchedulerEvent.AttemptConfirmed}.
   *
   * @param key the job
   * @param attempt the attempt
   * @param workers workers of the members, in the order of the members
   */
  record AttemptReserved(RequestKey key, AttemptToken attempt, List<WorkerId> workers)
      implements SchedulerEffect {}

  /**
   * Start a reserved member.
   *
   * @param task the member
   * @param key its job
   * @param worker where
   * @param checkpoint name of the checkpoint to resume from, or null
   */
  record StartMember(TaskId task, RequestKey key, WorkerId worker, @Nullable String checkpoint)
      implements SchedulerEffect {}

  /**
   * Release the reservation of a member or stop it.
   *
   * @param task the member
   * @param worker where
   */
  record ReleaseMember(TaskId task, WorkerId worker) implements SchedulerEffect {}

  /**
   * Make a member write a checkpoint and stop.
   *
   * @param task the member
   * @param worker where
   */
  record CheckpointTask(TaskId task, WorkerId worker) implements SchedulerEffect {}

  /**
   * Limit the processor time of a member.
   *
   * @param task the member
   * @param worker where
   * @param percent share of its granted processor time, 1 to 100
   */
  record ThrottleTask(TaskId task, WorkerId worker, int percent) implements SchedulerEffect {}

  /**
   * Stop a running member.
   *
   * @param task the member
   * @param worker where
   */
  record StopTask(TaskId task, WorkerId worker) implements SchedulerEffect {}

  /**
   * All members of a job run.
   *
   * @param key the job
   * @param attempt the attempt
   */
  record JobStarted(RequestKey key, AttemptToken attempt) implements SchedulerEffect {}

  /**
   * All members of a job ended with a result.
   *
   * @param key the job
   * @param resultJson result of member 0 as JSON
   * @param tasks the members, whose outcome may be acknowledged once the answer is durable
   * @param workers workers of the members, in the same order
   */
  record JobCompleted(RequestKey key, String resultJson, List<TaskId> tasks, List<WorkerId> workers)
      implements SchedulerEffect {}

  /**
   * A job failed and is not run again.
   *
   * @param key the job
   * @param error the final error, which says whether the job ran
   */
  record JobFailed(RequestKey key, RequestError error) implements SchedulerEffect {}

  /**
   * A guarantee currently cannot be placed.
   *
   * @param workspace its workspace
   * @param guarantee the guarantee
   * @param missing what is missing, in one sentence
   */
  record GuaranteeBroken(WorkspaceId workspace, Guarantee guarantee, String missing)
      implements SchedulerEffect {}

  /**
   * A broken guarantee can be placed again.
   *
   * @param workspace its workspace
   * @param guarantee the guarantee
   */
  record GuaranteeRestored(WorkspaceId workspace, Guarantee guarantee) implements SchedulerEffect {}
}
