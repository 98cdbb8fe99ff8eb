package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends idempotent commands until the worker replies or is out of contact; a lost stop would
 * otherwise hold capacity as long as the worker's leases are renewed.
 */
final class RepeatedCommands {
  private static final long TIMEOUT_MS = 1_000;

  private final NodeContext context;
  private final WorkerLinks links;
  private List<Pending> pending = new ArrayList<>();

  RepeatedCommands(NodeContext context, WorkerLinks links) {
    this.context = context;
    this.links = links;
  }

  void send(WorkerId id, WorkerCommand command) {
    WorkerDeclaration worker = links.reachable(id);
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
                pending.add(new Pending(id, command));
              }
            });
  }

  void tick() {
    List<Pending> due = pending;
    pending = new ArrayList<>();
    due.forEach(command -> send(command.worker(), command.command()));
  }

  /**
   * A command that got no reply.
   *
   * @param worker its receiver
   * @param command the command
   */
  private record Pending(WorkerId worker, WorkerCommand command) {}
}
