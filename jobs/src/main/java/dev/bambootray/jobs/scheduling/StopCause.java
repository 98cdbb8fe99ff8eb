package dev.bambootray.jobs.scheduling;

import java.util.Locale;

/** Why a run is stopped. */
public enum StopCause {
  /** Its place goes to a step with a guarantee or of more value. */
  RECLAIMED,
  /** Its start had no answer for too long. */
  START_UNANSWERED,
  /** It makes no progress. */
  NO_PROGRESS,
  /** Another member of its gang ended. */
  MEMBER_ENDED,
  /** Its job is final. */
  JOB_ENDED,
  /** The records do not name it. */
  NOT_EXPECTED;

  /** Returns the cause as logs and metrics show it. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
