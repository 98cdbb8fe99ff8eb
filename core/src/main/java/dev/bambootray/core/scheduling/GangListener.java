package dev.bambootray.core.scheduling;

/** Receives the state changes of gangs. */
interface GangListener {
  /** Called when all members run. */
  void started(Gang gang, long nowMs);

  /** Called when a running gang stops running, whatever the reason. */
  void stoppedRunning(Gang gang, long nowMs);

  /** Called when a member ended with a result. */
  void memberSucceeded(Member member, long nowMs);

  /** Called when a member ended with an error, was stopped, or was lost with its worker. */
  void memberFailed(Member member, long nowMs);

  /** Called when a worker refused a member. */
  void memberRefused(Member member, long nowMs);

  /** Called when all members ended with a result. */
  void completed(Gang gang, long nowMs);

  /** Called when the job was answered; it must not be placed again. */
  void answered(Job job, long nowMs);

  /** Called when every member of a gang was released or had ended. */
  void drained(Gang gang, long nowMs);
}
