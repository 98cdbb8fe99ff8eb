package dev.bambootray.jobs.scheduling;

/** Spaces the reclaims for a step that does not start in spite of them. */
final class ReclaimPauses {
  /** Reclaims allowed for a step without a pause; the time limit of a guarantee fits about two. */
  private static final int RECLAIMS_WITHOUT_PAUSE = 2;

  /** First pause between reclaims for a step; each further pause is twice as long. */
  private static final long FIRST_PAUSE_MS = 1_000;

  private static final long MAX_PAUSE_MS = 8_000;

  private ReclaimPauses() {}

  /** Delays the next reclaim of a step, for longer each time that a reclaim led to no start. */
  static void onReclaimed(StepInstance step, EventTime now) {
    step.reclaims++;
    int pauses = step.reclaims - RECLAIMS_WITHOUT_PAUSE;
    if (pauses >= 0) {
      step.nextReclaimMs =
          now.ms() + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(pauses, 10));
    }
  }
}
