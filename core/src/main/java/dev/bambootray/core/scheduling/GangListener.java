package dev.bambootray.core.scheduling;

/** Told of what becomes of gangs, so that queue, shares and health follow. */
interface GangListener {
  /** All members run. */
  void started(Gang gang, long nowMs);

  /** A gang that ran stops running, for whatever reason. */
  void stoppedRunning(Gang gang, long nowMs);

  /** A member ended with a result. */
  void memberSucceeded(Member member, long nowMs);

  /** A member failed by itself, or its worker lost it. */
  void memberFailed(Member member, long nowMs);

  /** A worker refused a member. */
  void memberRefused(Member member, long nowMs);

  /** All members ended with a result. */
  void completed(Gang gang, long nowMs);

  /** The job was answered; nothing of it may be placed again. */
  void answered(Job job, long nowMs);

  /** Every member of a gang was released, or had ended. */
  void drained(Gang gang, long nowMs);
}
