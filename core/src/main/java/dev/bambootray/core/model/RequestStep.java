package dev.bambootray.core.model;

/** The step of handling a request at which an error arose. */
public enum RequestStep {
  /** Parsing and validating the request. */
  ADMISSION,
  /** Authenticating the caller. */
  AUTHENTICATION,
  /** Writing or reading the request record in the table. */
  RECORD,
  /** Forwarding the request between nodes. */
  FORWARD,
  /** Waiting in a queue for capacity. */
  QUEUE,
  /** Placing a gang. */
  PLACEMENT,
  /** Sending work to a worker. */
  DISPATCH,
  /** Running on a worker. */
  RUN,
  /** Returning the answer to the caller. */
  ANSWER,
  /** Reading or publishing the declaration. */
  CONFIGURATION
}
