package dev.bambootray.jobs.worker;

import dev.bambootray.jobs.model.RunName;

/**
 * The end of a run as its worker reports it.
 *
 * @param number number of the report, rising within a life of the worker
 * @param run the run
 * @param cause how it ended
 * @param checkpoint saved progress, or empty
 */
public record RunEnd(long number, RunName run, Cause cause, String checkpoint) {
  /** How a run ended. */
  public enum Cause {
    /** It finished its work. */
    DONE,
    /** It failed, by its own fault or the worker's. */
    FAILED,
    /** It was told to stop. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not arrive in time. */
    ALONE
  }
}
