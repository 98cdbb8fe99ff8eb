package dev.bambootray.core.node;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.worker.WorkerReply;
import io.vavr.control.Either;
import java.util.Map;

/** What the control state of a node is told. */
public sealed interface NodeEvent {

  /**
   * A caller submitted a request whose parameters were checked.
   *
   * @param ticket number under which the caller waits
   * @param spec the request
   * @param waitMs how long the caller waits for the answer, in milliseconds; 0 to return once
   *     accepted
   */
  record CallerSubmitted(long ticket, RequestSpec spec, long waitMs) implements NodeEvent {}

  /**
   * A caller asked for a request.
   *
   * @param ticket number under which the caller waits
   * @param key the request
   * @param waitMs how long the caller waits for the answer, in milliseconds
   */
  record CallerRead(long ticket, RequestKey key, long waitMs) implements NodeEvent {}

  /**
   * A caller cancelled a request.
   *
   * @param ticket number under which the caller waits
   * @param key the request
   */
  record CallerCancelled(long ticket, RequestKey key) implements NodeEvent {}

  /**
   * A caller asked why a request is where it is.
   *
   * @param ticket number under which the caller waits
   * @param key the request
   */
  record CallerAskedWhy(long ticket, RequestKey key) implements NodeEvent {}

  /**
   * An operator publishes a declaration.
   *
   * @param ticket number under which the operator waits
   * @param baseVersion the version that the operator changed
   * @param text the new text
   * @param author the operator
   */
  record PublishAsked(long ticket, long baseVersion, String text, String author)
      implements NodeEvent {}

  /**
   * Somebody asked for the state of the node.
   *
   * @param ticket number under which the asker waits
   */
  record StatusAsked(long ticket) implements NodeEvent {}

  /** An operator asked this node to stop; it takes no new work from now on. */
  record DrainRequested() implements NodeEvent {}

  /**
   * An operator stopped or resumed new work on a worker.
   *
   * @param worker the worker
   * @param drain true to stop new work
   */
  record WorkerDrainRequested(WorkerId worker, boolean drain) implements NodeEvent {}

  /**
   * A message of another node arrived.
   *
   * @param message the message
   */
  record PeerMessageReceived(PeerMessage message) implements NodeEvent {}

  /**
   * A commit ended.
   *
   * @param id number of the call
   * @param outcome its outcome
   */
  record CommitEnded(long id, Either<StoreError, CommitResult> outcome) implements NodeEvent {}

  /**
   * A row was read.
   *
   * @param id number of the call
   * @param outcome the row
   */
  record RowRead(long id, Either<StoreError, StoredRow> outcome) implements NodeEvent {}

  /**
   * A page of rows was read.
   *
   * @param id number of the call
   * @param outcome the page
   */
  record RowsScanned(long id, Either<StoreError, RowPage> outcome) implements NodeEvent {}

  /**
   * An object was written.
   *
   * @param id number of the call
   * @param outcome true, or what went wrong
   */
  record ObjectPut(long id, Either<StoreError, Boolean> outcome) implements NodeEvent {}

  /**
   * The list of VMs was read.
   *
   * @param id number of the call
   * @param outcome for each name whether it is leaving
   */
  record VmsListed(long id, Either<StoreError, Map<String, Boolean>> outcome)
      implements NodeEvent {}

  /**
   * A worker replied, or could not be reached.
   *
   * @param id number of the call
   * @param reply the reply
   */
  record WorkerReplied(long id, WorkerReply reply) implements NodeEvent {}

  /** Time has passed. */
  record Tick() implements NodeEvent {}
}
