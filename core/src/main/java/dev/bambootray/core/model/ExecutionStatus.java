package dev.bambootray.core.model;

/** Whether a request ran, as stated in its answer. */
public enum ExecutionStatus {
  /** It certainly did not run. */
  NO,
  /** It ran. */
  YES,
  /** It may have run. */
  UNKNOWN
}
