package dev.bambootray.core.scheduling;

import java.util.Set;

/** Rates the borrowed gangs that a claim may stop. */
interface VictimPolicy {
  /** Returns the cost of stopping the gangs, in accelerator milliseconds; lower is better. */
  double cost(Set<Gang> victims, int claimedAccelerators, long nowMs);

  /** Returns the work that must be repeated if the gang stops, in accelerator milliseconds. */
  double lostWork(Gang victim, long nowMs);
}
