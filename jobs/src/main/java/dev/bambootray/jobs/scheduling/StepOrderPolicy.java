package dev.bambootray.jobs.scheduling;

/** Assigns an urgency to waiting steps, which determines the order of placement. */
@FunctionalInterface
interface StepOrderPolicy {

  /** Gives all steps the same urgency, so that the order of arrival decides. */
  StepOrderPolicy ARRIVAL = (step, nowMs) -> 0;

  /**
   * Returns the urgency of a step; steps with the highest urgency are placed first.
   *
   * @param step a step whose tasks may be placed
   * @param nowMs current time
   */
  double urgency(StepInstance step, long nowMs);
}
