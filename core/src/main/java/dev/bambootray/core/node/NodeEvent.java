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

/** An input of {@link NodeCore}: a call, a message, the outcome of an effect, or a tick. */
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
   * A caller asked for the state or the answer of a request.
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
   * A caller asked for an explanation of a request's state.
   *
   * @param ticket number under which the caller waits
   * @param key the request
   */
  record CallerRequestedExplanation(long ticket, RequestKey key) implements NodeEvent {}

  /**
   * An operator publishes a declaration.
   *
   * @param ticket number under which the operator waits
   * @param baseVersion the version on which the new text is based
   * @param text the new text
   * @param author the operator
   */
  record PublishRequested(long ticket, long baseVersion, String text, String author)
      implements NodeEvent {}

  /**
   * An operator asked for the state of the node.
   *
   * @param ticket number under which the operator waits
   */
  record StatusRequested(long ticket) implements NodeEvent {}

  /** An operator asked this node to stop; it accepts no new work from now on. */
  record DrainRequested() implements NodeEvent {}

  /**
   * An operator stopped or resumed new work on a worker.
   *
   * @param worker the worker
   * @param drain true to stop new work
   */
  record WorkerDrainRequested(WorkerId worker, boolean drain) implements NodeEvent {}

  /**
   * A message from another node arrived.
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
   * @param outcome true, or the error
   */
  record ObjectPut(long id, Either<StoreError, Boolean> outcome) implements NodeEvent {}

  /**
   * The list of VMs was read.
   *
   * @param id number of the call
   * @param outcome names of the VMs, each with whether it is leaving
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
