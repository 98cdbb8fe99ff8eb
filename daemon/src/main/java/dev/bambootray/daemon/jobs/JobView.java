package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobPhase;
import org.jspecify.annotations.Nullable;

/**
 * What a caller learns of a job.
 *
 * @param kind whether its state is known
 * @param phase its state, or null if there is none
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
