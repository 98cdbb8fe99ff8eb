package dev.bambootray.jobs.scheduling;

/** Decides which waiting step is placed first. */
@FunctionalInterface
interface OrderPolicy {

  /** Holds no step for more urgent than another, so that the order of arrival decides. */
  OrderPolicy ARRIVAL = (step, nowMs) -> 0;

  /**
   * Returns the urgency of a step; the highest is placed first.
   *
   * @param step a step whose tasks may be placed
   * @param nowMs the time
   */
  double urgency(StepRun step, long nowMs);
}
