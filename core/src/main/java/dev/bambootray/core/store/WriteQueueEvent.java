package dev.bambootray.core.store;

import java.util.List;

/** An event that the write queue handles. */
public sealed interface WriteQueueEvent {

  /** Time has passed; expected at least every 100 ms. */
  record Tick() implements WriteQueueEvent {}

  /**
   * A write was submitted, whose rows are written together or not at all.
   *
   * @param id number that identifies the write on this node; numbers are never reused
   * @param writes the writes, at most one for each row
   * @param urgent whether it is sent before other writes and regardless of the rate limit, for
   *     leases
   * @param dropAfterMs when it is rejected if it was not sent yet, in milliseconds since the epoch;
   *     {@link Long#MAX_VALUE} for never
   */
  record WriteSubmitted(long id, List<RowWrite> writes, boolean urgent, long dropAfterMs)
      implements WriteQueueEvent {
    /** Copies the list. */
    public WriteSubmitted {
      writes = List.copyOf(writes);
    }
  }

  /**
   * A read of a row or a page of rows was submitted.
   *
   * @param id number that identifies the read on this node; numbers are never reused
   * @param read what to read
   */
  record ReadSubmitted(long id, StoreRead read) implements WriteQueueEvent {}

  /**
   * The table answered a transaction.
   *
   * @param writeToken token of the transaction
   * @param result the answer
   */
  record CommitAnswered(String writeToken, CommitResult result) implements WriteQueueEvent {}

  /**
   * A transaction got no usable answer.
   *
   * @param writeToken token of the transaction
   * @param error what went wrong
   */
  record CommitFailed(String writeToken, StoreError error) implements WriteQueueEvent {}

  /**
   * A read was answered.
   *
   * @param id number of the read
   */
  record ReadAnswered(long id) implements WriteQueueEvent {}

  /**
   * A read failed; the reader decides whether to read again.
   *
   * @param id number of the read
   * @param error what went wrong
   */
  record ReadFailed(long id, StoreError error) implements WriteQueueEvent {}

  /**
   * The number of nodes that share the rate limits changed.
   *
   * @param nodes the new number, 1 or more
   */
  record NodesChanged(int nodes) implements WriteQueueEvent {}
}
