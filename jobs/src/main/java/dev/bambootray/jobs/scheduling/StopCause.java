package dev.bambootray.jobs.scheduling;

import java.util.Locale;

/** Reason for stopping a run. */
public enum StopCause {
  /** Its resources are reclaimed for a step with a guarantee or of higher value. */
  RECLAIMED,
  /** Its start was not confirmed in time. */
  START_UNANSWERED,
  /** It makes no progress. */
  NO_PROGRESS,
  /** Another member of its gang ended. */
  MEMBER_ENDED,
  /** Its job reached a final phase. */
  JOB_ENDED,
  /** No record names it. */
  NOT_EXPECTED;

  /** Returns the name of the cause in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
