package dev.bambootray.core.worker;

/** Why a worker refused a command; a refused command had no effect. */
public enum RefusalReason {
  /** The command's epoch is lower than the worker's. */
  STALE_EPOCH,
  /** The command's epoch is higher than the worker's, so the worker must be adopted first. */
  NOT_ADOPTED,
  /** The worker lacks a free slot, accelerators, processors or memory. */
  NO_CAPACITY,
  /** The worker or its target is leaving and takes no new work. */
  LEAVING,
  /** The worker has no record of the task, for example because its lease expired. */
  UNKNOWN_TASK,
  /** The command is malformed. */
  INVALID
}
