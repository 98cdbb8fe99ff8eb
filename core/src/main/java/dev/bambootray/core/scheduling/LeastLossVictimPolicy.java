package dev.bambootray.core.scheduling;

import java.util.Set;

/** Prefers victims that lose the least work and free the fewest accelerators beyond the claim. */
final class LeastLossVictimPolicy implements VictimPolicy {
  /** Run time lost to writing and reading a checkpoint. */
  private static final long CHECKPOINT_COST_MS = 2_000;

  /** Cost of an accelerator that is freed without being claimed, in milliseconds of work. */
  private static final long EXCESS_COST_MS = 10_000;

  @Override
  public double cost(Set<Gang> victims, int claimedAccelerators, long nowMs) {
    double cost = 0;
    int freed = 0;
    for (Gang victim : victims) {
      int accelerators = victim.job.shape.totalAccelerators();
      freed += accelerators;
      cost += lostWork(victim, nowMs) + (double) CHECKPOINT_COST_MS * accelerators;
    }
    return cost + (double) EXCESS_COST_MS * Math.max(0, freed - claimedAccelerators);
  }

  @Override
  public double lostWork(Gang victim, long nowMs) {
    if (victim.step != Gang.Step.RUNNING || victim.job.request.template().checkpointable()) {
      return 0;
    }
    return (double) (nowMs - victim.runningSinceMs) * victim.job.shape.totalAccelerators();
  }
}
