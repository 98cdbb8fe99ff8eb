package dev.bambootray.core.store;

import java.util.List;

/** An action that the write queue asks its caller to carry out, or an outcome that it reports. */
public sealed interface WriteQueueEffect {

  /**
   * Sends a transaction; the reply is {@link WriteQueueEvent.CommitAnswered} or {@link
   * WriteQueueEvent.CommitFailed}.
   *
   * @param transaction the transaction
   */
  record SendTransaction(TableTransaction transaction) implements WriteQueueEffect {}

  /**
   * Sends a read; the reply is {@link WriteQueueEvent.ReadAnswered} or {@link
   * WriteQueueEvent.ReadFailed}.
   *
   * @param id number of the read
   * @param read what to read
   */
  record SendRead(long id, StoreRead read) implements WriteQueueEffect {}

  /**
   * A write took effect.
   *
   * @param id number of the write
   * @param versions new versions of its rows, in the order of its writes
   */
  record WriteCommitted(long id, List<Long> versions) implements WriteQueueEffect {
    /** Copies the list. */
    public WriteCommitted {
      versions = List.copyOf(versions);
    }
  }

  /**
   * A condition of a write did not hold; nothing was written.
   *
   * @param id number of the write
   * @param current the current rows whose condition failed
   */
  record WriteConflicted(long id, List<StoredRow> current) implements WriteQueueEffect {
    /** Copies the list. */
    public WriteConflicted {
      current = List.copyOf(current);
    }
  }

  /**
   * An operation was not sent, because the queue is full or the table did not answer in time; it
   * had no effect.
   *
   * @param id number of the write or read
   * @param reason why it was not sent
   * @param retryAfterMs when to try again, in milliseconds from now
   */
  record OperationRejected(long id, String reason, long retryAfterMs) implements WriteQueueEffect {}

  /**
   * The table started or stopped answering.
   *
   * @param available whether its last answer was usable
   */
  record AvailabilityChanged(boolean available) implements WriteQueueEffect {}
}
