package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobPhase;
import org.jspecify.annotations.Nullable;

/**
 * The state of a job as shown to callers.
 *
 * @param kind whether the state is known
 * @param phase the phase of the job, or null unless the state is known
 */
public record JobView(Kind kind, @Nullable JobPhase phase) {
  /** The store could not be read. */
  public static final JobView UNAVAILABLE = new JobView(Kind.UNAVAILABLE, null);

  /** There is no such job. */
  public static final JobView GONE = new JobView(Kind.GONE, null);

  /** Whether the state of a job is known. */
  public enum Kind {
    /** The job and its state are known. */
    KNOWN,
    /** There is no such job. */
    GONE,
    /** The store could not be read. */
    UNAVAILABLE
  }

  static JobView of(JobPhase phase) {
    return new JobView(Kind.KNOWN, phase);
  }
}
