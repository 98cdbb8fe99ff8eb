package dev.bambootray.core.scheduling;

import java.util.Set;

/** Weighs which borrowed work a claim stops. */
interface VictimPolicy {
  /** Returns the cost of stopping the gangs, in accelerator milliseconds; lower is better. */
  double cost(Set<Gang> victims, int claimedAccelerators, long nowMs);

  /** Returns the work that is lost for good if the gang stops, in accelerator milliseconds. */
  double lostWork(Gang victim, long nowMs);
}
