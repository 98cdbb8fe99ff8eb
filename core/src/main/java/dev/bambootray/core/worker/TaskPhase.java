package dev.bambootray.core.worker;

/** Phase of a task as its worker reports it. */
public enum TaskPhase {
  /** Resources are reserved; the task has not started. */
  RESERVED,
  /** The task runs. */
  RUNNING,
  /** The task ended with a result. */
  FINISHED,
  /** The task ended with an error. */
  FAILED,
  /** The task was stopped by a command or because its lease expired. */
  STOPPED,
  /** The task wrote a checkpoint and stopped. */
  CHECKPOINTED,
  /** The worker never received the task, or released it before it ran. */
  UNKNOWN
}
