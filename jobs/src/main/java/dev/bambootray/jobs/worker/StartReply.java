package dev.bambootray.jobs.worker;

/** Outcome of an order to start a run. */
public sealed interface StartReply {
  /**
   * The run is there.
   *
   * @param clockMs the worker's clock
   */
  record Started(long clockMs) implements StartReply {}

  /**
   * The worker did not start it and never will for this order.
   *
   * @param reason why
   */
  record Refused(Reason reason) implements StartReply {}

  /**
   * The order may have been carried out, or may be carried out later.
   *
   * @param detail what went wrong
   */
  record Unknown(String detail) implements StartReply {}

  /** Another life of the worker answered: what ran before is gone. */
  record OtherLife() implements StartReply {}

  /** Why a worker refuses a start. */
  enum Reason {
    /** A later owner has spoken to the worker. */
    FENCED,
    /** A run with this or a higher number was stopped or has ended there. */
    OLD_RUN,
    /** The lease of the order has run out. */
    EXPIRED,
    /** The worker has no room. */
    NO_ROOM,
    /** The worker is unhealthy. */
    UNHEALTHY,
    /** The order was not sent, or the worker cannot read it. */
    NOT_SENT
  }
}
