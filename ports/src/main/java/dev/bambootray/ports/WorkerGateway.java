package dev.bambootray.ports;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.concurrent.CompletableFuture;

/**
 * Sends commands to worker agents. Futures complete on a traffic thread and never exceptionally.
 */
public interface WorkerGateway extends AutoCloseable {

  /**
   * Sends a command. {@code NotSent} is returned only if no byte was written. {@code QueryTask}
   * always uses a fresh connection.
   *
   * @param worker the worker
   * @param command the command
   * @param timeoutMs time for the whole exchange, in milliseconds
   */
  CompletableFuture<WorkerReply> send(
      WorkerDeclaration worker, WorkerCommand command, long timeoutMs);

  /** Closes the connection of the given run; its pending command completes with {@code NoReply}. */
  void closeConnectionOf(WorkerDeclaration worker, TaskId task);

  @Override
  void close();
}
