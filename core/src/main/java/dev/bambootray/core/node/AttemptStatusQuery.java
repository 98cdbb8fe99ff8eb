package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Asks every worker of a recorded attempt whether its member of the gang ran. A worker that replies
 * that a member is unknown also refuses to run that member later.
 */
final class AttemptStatusQuery {
  private static final long TIMEOUT_MS = 1_000;

  private final NodeContext context;
  private final Ownership ownership;
  private final WorkerSessions workerSessions;
  private final ServedRequest request;
  private final BiConsumer<ServedRequest, Result> continuation;
  private int pendingReplies;
  private Result result = Result.NOT_RUN;

  AttemptStatusQuery(
      NodeContext context,
      Ownership ownership,
      WorkerSessions workerSessions,
      ServedRequest request,
      BiConsumer<ServedRequest, Result> continuation) {
    this.context = context;
    this.ownership = ownership;
    this.workerSessions = workerSessions;
    this.request = request;
    this.continuation = continuation;
  }

  void begin() {
    AttemptToken attempt = request.content.attempt();
    List<WorkerId> workers = request.content.workers();
    if (attempt == null || workers.isEmpty()) {
      continuation.accept(request, Result.MAY_HAVE_RUN);
      return;
    }
    pendingReplies = workers.size();
    for (int member = 0; member < workers.size(); member++) {
      ask(workers.get(member), new TaskId(attempt, member));
    }
  }

  private void ask(WorkerId id, TaskId task) {
    WorkerDeclaration worker = workerSessions.reachable(id);
    if (worker == null) {
      memberEnded(Result.NOT_REACHED);
      return;
    }
    context
        .outbox()
        .callWorker(
            worker,
            new WorkerCommand.QueryTask(ownership, task, 0),
            TIMEOUT_MS,
            reply -> memberEnded(resultOf(reply)));
  }

  private void memberEnded(Result memberResult) {
    // The constants of Result are ordered from certain to uncertain, so the least certain wins.
    result = memberResult.compareTo(result) > 0 ? memberResult : result;
    pendingReplies--;
    if (pendingReplies == 0) {
      continuation.accept(request, result);
    }
  }

  private static Result resultOf(WorkerReply reply) {
    if (reply instanceof WorkerReply.TaskState state) {
      TaskPhase phase = state.snapshot().phase();
      return phase == TaskPhase.UNKNOWN || phase == TaskPhase.RESERVED
          ? Result.NOT_RUN
          : Result.MAY_HAVE_RUN;
    }
    return reply instanceof WorkerReply.Refused refused
            && refused.reason() == RefusalReason.UNKNOWN_TASK
        ? Result.NOT_RUN
        : Result.NOT_REACHED;
  }

  /** The combined replies of the workers. */
  enum Result {
    /** No member ran or will run. */
    NOT_RUN,
    /** A member ran, but its outcome is lost. */
    MAY_HAVE_RUN,
    /** A worker could not be asked. */
    NOT_REACHED
  }
}
