package dev.bambootray.core.routing;

import dev.bambootray.core.worker.TaskId;

/** One run of a request on a target; it holds a slot until it has certainly ended. */
final class Run extends TimerEntry {
  /** What is known about a run. */
  enum Phase {
    /** The intent is being recorded; nothing was sent. */
    INTENT,
    /** It was sent and its reply is awaited. */
    SENT,
    /** Its connection failed; its worker is asked for its status. */
    UNKNOWN,
    /** It ended according to its worker, but its connection has not delivered the reply. */
    ENDED
  }

  static final long NEVER = Long.MAX_VALUE;

  final TaskId task;
  final PendingRequest request;
  final Target target;
  Phase phase = Phase.INTENT;
  long sentAtMs;
  long hedgeAtMs = NEVER;
  long statusCheckAtMs = NEVER;
  boolean hedge;
  boolean cancelled;
  boolean statusQueryQueued;
  int unknownReplies;
  int statusQueryFailures;

  Run(TaskId task, PendingRequest request, Target target) {
    this.task = task;
    this.request = request;
    this.target = target;
  }

  /** Returns whether the answer of the run is still needed. */
  boolean isWanted() {
    return !cancelled && !request.isAnswered();
  }

  /** Returns whether the connection that carries the run is assumed to be open. */
  boolean hasConnection() {
    return phase == Phase.SENT;
  }
}
