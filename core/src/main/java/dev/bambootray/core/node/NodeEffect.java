package dev.bambootray.core.node;

import dev.bambootray.core.configuration.PublishOutcome;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.core.store.TableTransaction;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/** An action that {@link NodeCore} requests; the daemon carries it out. */
public sealed interface NodeEffect {

  /**
   * Commit a transaction and report the outcome under the same number.
   *
   * @param id number of the call
   * @param transaction the transaction
   */
  record Commit(long id, TableTransaction transaction) implements NodeEffect {}

  /**
   * Read a row of the table.
   *
   * @param id number of the call
   * @param key the row
   */
  record ReadRow(long id, String key) implements NodeEffect {}

  /**
   * Read a page of rows.
   *
   * @param id number of the call
   * @param prefix prefix of the rows
   * @param afterKey key to continue after, or null to begin
   * @param limit maximum number of rows in the page
   */
  record ScanRows(long id, String prefix, @Nullable String afterKey, int limit)
      implements NodeEffect {}

  /**
   * Write an object.
   *
   * @param id number of the call
   * @param name its name
   * @param content its content as text
   */
  record PutObject(long id, String name, String content) implements NodeEffect {}

  /**
   * Read the list of VMs.
   *
   * @param id number of the call
   */
  record ListVms(long id) implements NodeEffect {}

  /**
   * Send a command to a worker.
   *
   * @param id number of the call
   * @param worker the worker
   * @param command the command
   * @param timeoutMs time for the whole exchange, in milliseconds
   */
  record SendWorker(long id, WorkerDeclaration worker, WorkerCommand command, long timeoutMs)
      implements NodeEffect {}

  /**
   * Close the connection that carries a run.
   *
   * @param worker the worker
   * @param task the run
   */
  record CloseWorkerConnection(WorkerDeclaration worker, TaskId task) implements NodeEffect {}

  /**
   * Send a message to another node.
   *
   * @param receiver the node
   * @param message the message
   */
  record SendPeer(MemberState receiver, PeerMessage message) implements NodeEffect {}

  /**
   * Send the next message to another node on a fresh connection.
   *
   * @param receiver the node
   */
  record ResetPeer(MemberState receiver) implements NodeEffect {}

  /**
   * Answer a caller that waits for a request.
   *
   * @param ticket number of the waiting call
   * @param outcome the present record, or why there is none
   * @param durable whether the record is in the table
   */
  record ReplyToCaller(long ticket, Either<RequestError, RequestRecord> outcome, boolean durable)
      implements NodeEffect {}

  /**
   * Answer a call for an explanation.
   *
   * @param ticket number of the waiting call
   * @param outcome the explanation, or why there is none
   */
  record ReplyExplanation(long ticket, Either<RequestError, Explanation> outcome)
      implements NodeEffect {}

  /**
   * Answer an operator who published a declaration.
   *
   * @param ticket number of the waiting call
   * @param outcome the outcome of the publication
   */
  record ReplyPublish(long ticket, PublishOutcome outcome) implements NodeEffect {}

  /**
   * Answer a call for the state of the node.
   *
   * @param ticket number of the waiting call
   * @param snapshot the state
   */
  record ReplyStatus(long ticket, NodeSnapshot snapshot) implements NodeEffect {}

  /**
   * Check callers and parameters against another declaration from now on.
   *
   * @param declaration the declaration
   * @param text its text
   */
  record UseDeclaration(Declaration declaration, String text) implements NodeEffect {}

  /**
   * The node began or stopped to take new work.
   *
   * @param notReadyReason why it takes none, or empty if it does
   */
  record ReadinessChanged(String notReadyReason) implements NodeEffect {}

  /** The node has handed over its regions and answered its callers; the process may end. */
  record Drained() implements NodeEffect {}

  /**
   * Write an event to the log and send it to the watchers of events.
   *
   * @param part prefix of the log line, which names the part of the node
   * @param kind kind of event, one word
   * @param subject the request, worker, region or version
   * @param detail one sentence without secrets
   */
  record Report(String part, String kind, String subject, String detail) implements NodeEffect {}
}
