package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RouterEffect;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.List;

/** Carries out the effects of a region's target router and reports their outcomes back to it. */
final class RouterEffectRunner {
  private static final long REPLY_GRACE_MS = 2_000;
  private static final long PROBE_TIMEOUT_MS = 1_000;
  private static final TaskId PROBE = new TaskId(AttemptToken.of("probe"), 0);

  private final NodeContext context;
  private final Ownership ownership;
  private final RegionController controller;
  private final WorkerSessions workerSessions;
  private final RetryingCommandSender commands;
  private final IntentWriter intents;

  RouterEffectRunner(
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

  void apply(RouterEffect effect) {
    if (effect instanceof RouterEffect.RecordIntent intent) {
      recordIntent(intent);
    } else if (effect instanceof RouterEffect.RunOnTarget run) {
      run(run);
    } else if (effect instanceof RouterEffect.CancelRun cancel) {
      commands.send(cancel.worker(), new WorkerCommand.Stop(ownership, cancel.task()));
    } else if (effect instanceof RouterEffect.QueryRunStatus query) {
      queryFate(query);
    } else if (effect instanceof RouterEffect.ProbeTarget probe) {
      probe(probe.worker());
    } else if (effect instanceof RouterEffect.CloseConnection close) {
      WorkerDeclaration worker = workerSessions.reachable(close.worker());
      if (worker != null) {
        context.outbox().add(new NodeEffect.CloseWorkerConnection(worker, close.task()));
      }
    } else if (effect instanceof RouterEffect.AcknowledgeRun forget) {
      commands.send(
          forget.worker(), new WorkerCommand.Acknowledge(ownership, List.of(forget.task())));
    } else if (effect instanceof RouterEffect.CompleteRequest complete) {
      controller.finish(complete.key(), Answer.success(complete.key(), complete.resultJson()));
    } else if (effect instanceof RouterEffect.RefuseRequest refuse) {
      controller.finish(refuse.key(), Answer.failure(refuse.key(), refuse.error()));
    }
  }

  private void recordIntent(RouterEffect.RecordIntent intent) {
    ServedRequest request = controller.find(intent.key());
    if (request == null) {
      notifyRouter(new RouterEvent.IntentRejected(intent.task()));
      return;
    }
    intents.write(
        request,
        intent.task().attempt(),
        List.of(intent.worker()),
        recorded ->
            notifyRouter(
                recorded
                    ? new RouterEvent.IntentRecorded(intent.task())
                    : new RouterEvent.IntentRejected(intent.task())));
  }

  private void run(RouterEffect.RunOnTarget run) {
    WorkerDeclaration worker = workerSessions.reachable(run.worker());
    ServedRequest request = controller.find(run.key());
    if (worker == null || request == null) {
      notifyRouter(new RouterEvent.RunNotSent(run.task(), "the worker is out of contact"));
      return;
    }
    request.tasks.put(run.task(), run.worker());
    RequestSpec spec = request.content.spec();
    WorkerCommand command =
        new WorkerCommand.Run(
            ownership,
            run.task(),
            run.key(),
            spec.template(),
            spec.parametersJson(),
            run.maxRunMs(),
            spec.traceparent());
    context
        .outbox()
        .callWorker(
            worker, command, run.maxRunMs() + REPLY_GRACE_MS, reply -> runEnded(run.task(), reply));
  }

  private void runEnded(TaskId task, WorkerReply reply) {
    if (reply instanceof WorkerReply.TaskState state) {
      notifyRouter(ended(state.snapshot()));
    } else if (reply instanceof WorkerReply.Refused refused) {
      notifyRouter(new RouterEvent.RunRefused(task, refused.reason()));
    } else if (reply instanceof WorkerReply.NotSent notSent) {
      notifyRouter(new RouterEvent.RunNotSent(task, notSent.error().message()));
    } else if (reply instanceof WorkerReply.NoReply noReply) {
      notifyRouter(new RouterEvent.RunNoReply(task, noReply.error().message()));
    } else {
      notifyRouter(
          new RouterEvent.RunNoReply(task, "the worker sent a reply of an unexpected type"));
    }
  }

  private static RouterEvent ended(TaskSnapshot snapshot) {
    String detail = snapshot.detail() == null ? "" : snapshot.detail();
    return switch (snapshot.phase()) {
      case FINISHED -> new RouterEvent.RunAnswered(snapshot.task(), detail);
      case FAILED -> new RouterEvent.RunFailed(snapshot.task(), detail);
      case STOPPED -> new RouterEvent.RunFailed(snapshot.task(), "the run was stopped");
      default -> new RouterEvent.RunStatusReceived(snapshot);
    };
  }

  private void queryFate(RouterEffect.QueryRunStatus query) {
    WorkerDeclaration worker = workerSessions.reachable(query.worker());
    if (worker == null) {
      notifyRouter(
          new RouterEvent.RunStatusUnavailable(query.task(), "the worker is out of contact"));
      return;
    }
    context
        .outbox()
        .callWorker(
            worker,
            new WorkerCommand.QueryTask(ownership, query.task(), query.waitMs()),
            query.waitMs() + PROBE_TIMEOUT_MS,
            reply -> {
              if (reply instanceof WorkerReply.TaskState state) {
                notifyRouter(new RouterEvent.RunStatusReceived(state.snapshot()));
              } else {
                notifyRouter(new RouterEvent.RunStatusUnavailable(query.task(), reply.toString()));
              }
            });
  }

  private void probe(WorkerId id) {
    WorkerDeclaration worker = workerSessions.reachable(id);
    if (worker == null) {
      notifyRouter(new RouterEvent.ProbeMissed(id));
      return;
    }
    context
        .outbox()
        .callWorker(
            worker,
            new WorkerCommand.QueryTask(ownership, PROBE, 0),
            PROBE_TIMEOUT_MS,
            reply ->
                notifyRouter(
                    isProbeAnswer(reply)
                        ? new RouterEvent.ProbeAnswered(id)
                        : new RouterEvent.ProbeMissed(id)));
  }

  private static boolean isProbeAnswer(WorkerReply reply) {
    return reply instanceof WorkerReply.TaskState
        || (reply instanceof WorkerReply.Refused refused
            && refused.reason() == RefusalReason.UNKNOWN_TASK);
  }

  private void notifyRouter(RouterEvent event) {
    controller.route(event, context.now());
  }
}
