package dev.bambootray.core.ledger;

/** State of a request record. */
public enum RequestRecordState {
  /** The request is accepted; no attempt is recorded. */
  ACCEPTED,
  /** The intent to run an attempt is recorded. */
  INTENT,
  /** The request has its final answer. */
  ANSWERED
}
