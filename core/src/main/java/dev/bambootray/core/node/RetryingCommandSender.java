package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends idempotent commands repeatedly until the worker replies or becomes unreachable. Without the
 * repetition, a lost stop command would hold capacity for as long as the worker's leases are
 * renewed.
 */
final class RetryingCommandSender {
  private static final long TIMEOUT_MS = 1_000;

  private final NodeContext context;
  private final WorkerSessions workerSessions;
  private List<Pending> pending = new ArrayList<>();

  RetryingCommandSender(NodeContext context, WorkerSessions workerSessions) {
    this.context = context;
    this.workerSessions = workerSessions;
  }

  void send(WorkerId id, WorkerCommand command) {
    send(id, command, () -> {});
  }

  /**
   * Sends a command and runs the continuation once the worker has carried it out or has replied
   * that its task is unknown. Nothing is sent to an unreachable worker, which its session reports
   * as lost.
   */
  void send(WorkerId id, WorkerCommand command, Runnable continuation) {
    WorkerDeclaration worker = workerSessions.reachable(id);
    if (worker == null) {
      return;
    }
    context
        .outbox()
        .callWorker(
            worker,
            command,
            TIMEOUT_MS,
            reply -> {
              if (reply instanceof WorkerReply.NoReply || reply instanceof WorkerReply.NotSent) {
                pending.add(new Pending(id, command, continuation));
              } else if (reply instanceof WorkerReply.Done || isUnknownTask(reply)) {
                continuation.run();
              }
            });
  }

  void tick() {
    List<Pending> due = pending;
    pending = new ArrayList<>();
    due.forEach(command -> send(command.worker(), command.command(), command.continuation()));
  }

  private static boolean isUnknownTask(WorkerReply reply) {
    return reply instanceof WorkerReply.Refused refused
        && refused.reason() == RefusalReason.UNKNOWN_TASK;
  }

  /**
   * A command that got no reply.
   *
   * @param worker its receiver
   * @param command the command
   * @param continuation called once the command has taken effect
   */
  private record Pending(WorkerId worker, WorkerCommand command, Runnable continuation) {}
}
