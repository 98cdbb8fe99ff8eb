package dev.bambootray.jobs.worker;

/** Outcome of a start order. */
public sealed interface StartReply {
  /**
   * The worker has started the run.
   *
   * @param clockMs time by the worker's clock
   */
  record Started(long clockMs) implements StartReply {}

  /**
   * The worker did not start the run and will not start it because of this order.
   *
   * @param reason reason of the refusal
   */
  record Refused(Reason reason) implements StartReply {}

  /**
   * The order may have been carried out, or may be carried out later.
   *
   * @param detail description of the error
   */
  record Unknown(String detail) implements StartReply {}

  /** The worker has restarted and lost all earlier runs. */
  record WorkerRestarted() implements StartReply {}

  /** Reason for the refusal of a start order. */
  enum Reason {
    /** The worker has accepted a later epoch. */
    FENCED,
    /** A run of the task with this or a higher number was stopped or has ended at the worker. */
    OLD_RUN,
    /** The lease in the order has expired. */
    EXPIRED,
    /** The worker has not enough free resources. */
    NO_ROOM,
    /** The worker is unhealthy. */
    UNHEALTHY,
    /** The order was not sent, or the worker could not parse it. */
    NOT_SENT
  }
}
