package dev.bambootray.jobs.scheduling;

/** Decides which waiting step is placed first. */
interface OrderPolicy {

  /**
   * Returns the urgency of a step; the highest is placed first.
   *
   * @param step a step whose tasks may be placed
   * @param nowMs the time
   */
  double urgency(StepRun step, long nowMs);
}
