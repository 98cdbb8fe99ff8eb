package dev.bambootray.jobs.worker;

import dev.bambootray.jobs.model.RunName;

/**
 * Reports the end of a run at its worker.
 *
 * @param number number of the report, increasing until the worker restarts
 * @param run the run
 * @param cause how the run ended
 * @param checkpoint newest checkpoint, or empty
 */
public record RunEnd(long number, RunName run, Cause cause, String checkpoint) {
  /** How a run ended. */
  public enum Cause {
    /** It finished its work. */
    DONE,
    /** It failed because of the task or the worker. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE
  }
}
