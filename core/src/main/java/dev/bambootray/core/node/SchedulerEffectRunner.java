package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.scheduling.SchedulerEffect;
import dev.bambootray.core.scheduling.SchedulerEvent;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;

/** Carries out the effects of a region's scheduler and reports their outcomes back to it. */
final class SchedulerEffectRunner {
  /** The scheduler releases a gang if a member is not confirmed within this time. */
  private static final long COMMAND_TIMEOUT_MS = 1_000;

  private final NodeContext context;
  private final Ownership ownership;
  private final RegionController controller;
  private final WorkerSessions workerSessions;
  private final RetryingCommandSender commands;
  private final IntentWriter intents;

  SchedulerEffectRunner(
      NodeContext context,
      Ownership ownership,
      RegionController controller,
      WorkerSessions workerSessions,
      RetryingCommandSender commands,
      IntentWriter intents) {
    this.context = context;
    this.ownership = ownership;
    this.controller = controller;
    this.workerSessions = workerSessions;
    this.commands = commands;
    this.intents = intents;
  }

  void apply(SchedulerEffect effect) {
    if (effect instanceof SchedulerEffect.ReserveMember reserve) {
      reserve(reserve);
    } else if (effect instanceof SchedulerEffect.AttemptReserved reserved) {
      recordIntent(reserved);
    } else if (effect instanceof SchedulerEffect.StartMember start) {
      start(start, true);
    } else if (effect instanceof SchedulerEffect.ReleaseMember release) {
      // A worker sends no event for a reservation that it no longer holds, so the reply to the stop
      // shows that the reservation has ended.
      commands.send(
          release.worker(),
          new WorkerCommand.Stop(ownership, release.task()),
          () -> notifyScheduler(new SchedulerEvent.TaskStopped(release.task())));
    } else if (effect instanceof SchedulerEffect.CheckpointTask checkpoint) {
      commands.send(
          checkpoint.worker(), new WorkerCommand.Checkpoint(ownership, checkpoint.task()));
    } else if (effect instanceof SchedulerEffect.ThrottleTask throttle) {
      commands.send(
          throttle.worker(),
          new WorkerCommand.Throttle(ownership, throttle.task(), throttle.percent()));
    } else if (effect instanceof SchedulerEffect.StopTask stop) {
      commands.send(stop.worker(), new WorkerCommand.Stop(ownership, stop.task()));
    } else if (effect instanceof SchedulerEffect.JobStarted started) {
      report("started", started.key(), "All members run.");
    } else if (effect instanceof SchedulerEffect.JobCompleted completed) {
      controller.finish(completed.key(), Answer.success(completed.key(), completed.resultJson()));
    } else if (effect instanceof SchedulerEffect.JobFailed failed) {
      controller.finish(failed.key(), Answer.failure(failed.key(), failed.error()));
    } else if (effect instanceof SchedulerEffect.GuaranteeBroken broken) {
      report("guarantee-broken", broken.workspace(), broken.missing());
    } else if (effect instanceof SchedulerEffect.GuaranteeRestored restored) {
      report("guarantee-restored", restored.workspace(), "The guarantee can be met again.");
    }
  }

  /** Reports a task's change of phase, as sent by its worker, to the scheduler. */
  void taskChanged(TaskSnapshot snapshot) {
    TaskId task = snapshot.task();
    String detail = snapshot.detail() == null ? "" : snapshot.detail();
    switch (snapshot.phase()) {
      case RUNNING -> notifyScheduler(new SchedulerEvent.MemberStarted(task));
      case FINISHED -> notifyScheduler(new SchedulerEvent.TaskFinished(task, detail));
      case FAILED -> notifyScheduler(new SchedulerEvent.TaskFailed(task, detail));
      case STOPPED, UNKNOWN -> notifyScheduler(new SchedulerEvent.TaskStopped(task));
      case CHECKPOINTED -> notifyScheduler(new SchedulerEvent.TaskCheckpointed(task, detail));
      case RESERVED -> {}
    }
  }

  private void reserve(SchedulerEffect.ReserveMember reserve) {
    WorkerDeclaration worker = workerSessions.reachable(reserve.worker());
    ServedRequest request = controller.find(reserve.key());
    if (worker == null || request == null) {
      notifyScheduler(new SchedulerEvent.MemberRefused(reserve.task(), RefusalReason.UNKNOWN_TASK));
      return;
    }
    WorkerCommand command =
        new WorkerCommand.Reserve(
            ownership,
            reserve.task(),
            reserve.key(),
            request.content.spec().template(),
            reserve.members(),
            reserve.firstAccelerator(),
            reserve.resources(),
            WorkerSessions.TASK_LEASE_MS);
    context
        .outbox()
        .callWorker(worker, command, COMMAND_TIMEOUT_MS, reply -> reserveEnded(reserve, reply));
  }

  private void reserveEnded(SchedulerEffect.ReserveMember reserve, WorkerReply reply) {
    if (reply instanceof WorkerReply.Done) {
      notifyScheduler(new SchedulerEvent.MemberReserved(reserve.task()));
      return;
    }
    if (reply instanceof WorkerReply.NoReply) {
      // The worker may have made the reservation although its reply was lost.
      commands.send(reserve.worker(), new WorkerCommand.Stop(ownership, reserve.task()));
    }
    refused(reserve.task(), reply);
  }

  private void recordIntent(SchedulerEffect.AttemptReserved reserved) {
    AttemptToken attempt = reserved.attempt();
    ServedRequest request = controller.find(reserved.key());
    if (request == null) {
      notifyScheduler(new SchedulerEvent.AttemptRejected(attempt));
      return;
    }
    intents.write(
        request,
        attempt,
        reserved.workers(),
        recorded ->
            notifyScheduler(
                recorded
                    ? new SchedulerEvent.AttemptConfirmed(attempt)
                    : new SchedulerEvent.AttemptRejected(attempt)));
  }

  private void start(SchedulerEffect.StartMember start, boolean mayAskAgain) {
    WorkerDeclaration worker = workerSessions.reachable(start.worker());
    ServedRequest request = controller.find(start.key());
    if (worker == null || request == null) {
      notifyScheduler(new SchedulerEvent.MemberRefused(start.task(), RefusalReason.UNKNOWN_TASK));
      return;
    }
    request.tasks.put(start.task(), start.worker());
    RequestSpec spec = request.content.spec();
    WorkerCommand command =
        new WorkerCommand.Start(
            ownership,
            start.task(),
            spec.parametersJson(),
            request.template.maxRunMs(),
            start.checkpoint(),
            spec.traceparent());
    context
        .outbox()
        .callWorker(
            worker,
            command,
            COMMAND_TIMEOUT_MS,
            reply -> startEnded(start, worker, reply, mayAskAgain));
  }

  private void startEnded(
      SchedulerEffect.StartMember start,
      WorkerDeclaration worker,
      WorkerReply reply,
      boolean mayAskAgain) {
    if (reply instanceof WorkerReply.Done) {
      notifyScheduler(new SchedulerEvent.MemberStarted(start.task()));
    } else if (reply instanceof WorkerReply.NoReply && mayAskAgain) {
      context
          .outbox()
          .callWorker(
              worker,
              new WorkerCommand.QueryTask(ownership, start.task(), 0),
              COMMAND_TIMEOUT_MS,
              answer -> startQueried(start, answer));
    } else if (!(reply instanceof WorkerReply.NoReply)) {
      refused(start.task(), reply);
    }
  }

  private void startQueried(SchedulerEffect.StartMember start, WorkerReply reply) {
    if (!(reply instanceof WorkerReply.TaskState state)) {
      return;
    }
    if (state.snapshot().phase() == TaskPhase.RESERVED) {
      start(start, false);
    } else if (state.snapshot().phase() == TaskPhase.UNKNOWN) {
      notifyScheduler(new SchedulerEvent.MemberRefused(start.task(), RefusalReason.UNKNOWN_TASK));
    } else {
      notifyScheduler(new SchedulerEvent.MemberStarted(start.task()));
      taskChanged(state.snapshot());
    }
  }

  private void refused(TaskId task, WorkerReply reply) {
    RefusalReason reason =
        reply instanceof WorkerReply.Refused refused
            ? refused.reason()
            : RefusalReason.UNKNOWN_TASK;
    notifyScheduler(new SchedulerEvent.MemberRefused(task, reason));
  }

  private void notifyScheduler(SchedulerEvent event) {
    controller.schedule(event, context.now());
  }

  private void report(String kind, Object subject, String detail) {
    context.outbox().report("sched:", kind, subject, detail);
  }
}
