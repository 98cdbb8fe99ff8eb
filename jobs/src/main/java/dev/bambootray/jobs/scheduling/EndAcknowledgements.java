package dev.bambootray.jobs.scheduling;

/**
 * Tracks which ends a worker's process has listed, which of them are stored and which were
 * acknowledged to it.
 *
 * <p>A process numbers its ends from 1 and discards those up to the acknowledged number. A number
 * that reaches the next process of the worker would therefore discard ends that nobody has seen, so
 * the number is sent on a connection to its process only ({@link ProcessConnection}).
 */
final class EndAcknowledgements {
  /** Number of the newest end that was handled. */
  private long seen;

  /** Number of the newest end that is stored and may be acknowledged. */
  private long durable;

  /** Number of the newest end that was acknowledged to the worker. */
  private long acknowledged;

  /** Batch of records that must be stored before the newest handled end may be acknowledged. */
  private long batch;

  /** Notes a listed end and returns whether it was not listed before. */
  boolean recordListed(long number) {
    boolean isNew = number > seen;
    seen = Math.max(seen, number);
    return isNew;
  }

  /** Sets the batch of records in which the handled ends are stored. */
  void storeWith(long newestBatch) {
    batch = newestBatch;
  }

  /** Notes which ends are stored by now. */
  void update(RecordBatcher batches) {
    durable = batches.isDurable(batch) ? seen : durable;
  }

  /** Returns whether stored ends were not acknowledged yet. */
  boolean isPending() {
    return acknowledged < durable;
  }

  /** Returns whether handled ends are not stored yet. */
  boolean isAwaitingStore() {
    return durable < seen;
  }

  /** Returns whether all handled ends were acknowledged. */
  boolean isComplete() {
    return acknowledged >= seen;
  }

  /**
   * Returns the number to acknowledge with the next call, 0 for none. An acknowledged number is
   * repeated only after a call that has failed or was not sent.
   */
  long nextToAcknowledge() {
    if (!isPending()) {
      return 0;
    }
    acknowledged = durable;
    return durable;
  }

  /** Notes that an acknowledgement may not have reached the worker. */
  void onFailed() {
    acknowledged = 0;
  }

  /** Resets the numbers after a restart of the worker. */
  void restart() {
    seen = 0;
    durable = 0;
    acknowledged = 0;
  }
}
