package dev.bambootray.core.model;

/** The step of the request path at which an error arose. */
public enum Step {
  /** Reading and checking the request. */
  ADMISSION,
  /** Checking who the caller is. */
  AUTHENTICATION,
  /** Writing or reading the request record in the table. */
  RECORD,
  /** Forwarding between nodes. */
  FORWARD,
  /** Waiting in a queue for capacity. */
  QUEUE,
  /** Placing a gang. */
  PLACEMENT,
  /** Handing work to a worker. */
  DISPATCH,
  /** Running on a worker. */
  RUN,
  /** Bringing the answer back. */
  ANSWER,
  /** Reading or publishing the declaration. */
  CONFIGURATION
}
