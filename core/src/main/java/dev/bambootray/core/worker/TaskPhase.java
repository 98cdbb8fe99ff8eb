package dev.bambootray.core.worker;

/** Phase of a task as its worker sees it. */
public enum TaskPhase {
  /** Resources are held; nothing runs. */
  RESERVED,
  /** The task runs. */
  RUNNING,
  /** The task ended with a result. */
  FINISHED,
  /** The task ended with an error. */
  FAILED,
  /** The task was stopped by command or because its lease lapsed. */
  STOPPED,
  /** The task wrote a checkpoint and stopped. */
  CHECKPOINTED,
  /** The worker has never seen the task, or has released it before it ran. */
  UNKNOWN
}
