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
final class RunCommands {
  private static final long REPLY_GRACE_MS = 2_000;
  private static final long PROBE_TIMEOUT_MS = 1_000;
  private static final TaskId PROBE = new TaskId(AttemptToken.of("probe"), 0);

  private final NodeContext context;
  private final Ownership ownership;
  private final RegionDesk desk;
  private final WorkerLinks links;
  private final RepeatedCommands repeated;
  private final IntentWriter intents;

  RunCommands(
      NodeContext context,
      Ownership ownership,
      RegionDesk controller,
      WorkerLinks workerSessions,
      RepeatedCommands commands,
      IntentWriter intents) {
    this.context = context;
    this.ownership = ownership;
    this.desk = controller;
    this.links = workerSessions;
    this.repeated = commands;
    this.intents = intents;
  }

  void apply(RouterEffect effect) {
    if (effect instanceof RouterEffect.RecordIntent intent) {
      recordIntent(intent);
    } else if (effect instanceof RouterEffect.RunOnTarget run) {
      run(run);
    } else if (effect instanceof RouterEffect.CancelRun cancel) {
      repeated.send(cancel.worker(), new WorkerCommand.Stop(ownership, cancel.task()));
    } else if (effect instanceof RouterEffect.QueryFate query) {
      queryFate(query);
    } else if (effect instanceof RouterEffect.ProbeTarget probe) {
      probe(probe.worker());
    } else if (effect instanceof RouterEffect.CloseConnection close) {
      WorkerDeclaration worker = links.reachable(close.worker());
      if (worker != null) {
        context.outbox().add(new NodeEffect.CloseWorkerConnection(worker, close.task()));
      }
    } else if (effect instanceof RouterEffect.ForgetRun forget) {
      repeated.send(
          forget.worker(), new WorkerCommand.Acknowledge(ownership, List.of(forget.task())));
    } else if (effect instanceof RouterEffect.CompleteRequest complete) {
      desk.finish(complete.key(), Answer.success(complete.key(), complete.resultJson()));
    } else if (effect instanceof RouterEffect.RefuseRequest refuse) {
      desk.finish(refuse.key(), Answer.failure(refuse.key(), refuse.error()));
    }
  }

  private void recordIntent(RouterEffect.RecordIntent intent) {
    ServedRequest request = desk.find(intent.key());
    if (request == null) {
      tell(new RouterEvent.IntentRejected(intent.task()));
      return;
    }
    intents.write(
        request,
        intent.task().attempt(),
        List.of(intent.worker()),
        recorded ->
            tell(
                recorded
                    ? new RouterEvent.IntentRecorded(intent.task())
                    : new RouterEvent.IntentRejected(intent.task())));
  }

  private void run(RouterEffect.RunOnTarget run) {
    WorkerDeclaration worker = links.reachable(run.worker());
    ServedRequest request = desk.find(run.key());
    if (worker == null || request == null) {
      tell(new RouterEvent.RunNotSent(run.task(), "the worker is out of contact"));
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
      tell(ended(state.snapshot()));
    } else if (reply instanceof WorkerReply.Refused refused) {
      tell(new RouterEvent.RunRefused(task, refused.reason()));
    } else if (reply instanceof WorkerReply.NotSent notSent) {
      tell(new RouterEvent.RunNotSent(task, notSent.error().message()));
    } else if (reply instanceof WorkerReply.NoReply noReply) {
      tell(new RouterEvent.RunNoReply(task, noReply.error().message()));
    } else {
      tell(new RouterEvent.RunNoReply(task, "the worker sent a reply of an unexpected type"));
    }
  }

  private static RouterEvent ended(TaskSnapshot snapshot) {
    String detail = snapshot.detail() == null ? "" : snapshot.detail();
    return switch (snapshot.phase()) {
      case FINISHED -> new RouterEvent.RunAnswered(snapshot.task(), detail);
      case FAILED -> new RouterEvent.RunFailed(snapshot.task(), detail);
      case STOPPED -> new RouterEvent.RunFailed(snapshot.task(), "the run was stopped");
      default -> new RouterEvent.FateKnown(snapshot);
    };
  }

  private void queryFate(RouterEffect.QueryFate query) {
    WorkerDeclaration worker = links.reachable(query.worker());
    if (worker == null) {
      tell(new RouterEvent.FateUnavailable(query.task(), "the worker is out of contact"));
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
                tell(new RouterEvent.FateKnown(state.snapshot()));
              } else {
                tell(new RouterEvent.FateUnavailable(query.task(), reply.toString()));
              }
            });
  }

  private void probe(WorkerId id) {
    WorkerDeclaration worker = links.reachable(id);
    if (worker == null) {
      tell(new RouterEvent.ProbeMissed(id));
      return;
    }
    context
        .outbox()
        .callWorker(
            worker,
            new WorkerCommand.QueryTask(ownership, PROBE, 0),
            PROBE_TIMEOUT_MS,
            reply ->
                tell(
                    answers(reply)
                        ? new RouterEvent.ProbeAnswered(id)
                        : new RouterEvent.ProbeMissed(id)));
  }

  private static boolean answers(WorkerReply reply) {
    return reply instanceof WorkerReply.TaskState
        || (reply instanceof WorkerReply.Refused refused
            && refused.reason() == RefusalReason.UNKNOWN_TASK);
  }

  private void tell(RouterEvent event) {
    desk.route(event, context.now());
  }
}
