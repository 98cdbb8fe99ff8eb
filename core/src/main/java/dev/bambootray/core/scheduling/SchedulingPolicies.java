package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.PolicyDeclaration;

/** Selects the policies of a scheduler: order, placement, estimates, victims and backfill. */
public final class SchedulingPolicies {
  /** The waiting jobs that get a reservation, which later jobs must not delay. */
  enum ReservationPolicy {
    /** No job. */
    NONE,
    /** The first job that cannot be placed. */
    FIRST_BLOCKED,
    /** The largest waiting job, and the oldest one that has waited too long. */
    LARGEST_AND_AGED
  }

  private final boolean guarantees;
  private final boolean fair;
  private final boolean blocking;
  private final boolean bestFit;
  private final ReservationPolicy reserve;

  private SchedulingPolicies(
      boolean guarantees,
      boolean fair,
      boolean blocking,
      boolean bestFit,
      ReservationPolicy reserve) {
    this.guarantees = guarantees;
    this.fair = fair;
    this.blocking = blocking;
    this.bestFit = bestFit;
    this.reserve = reserve;
  }

  /** Returns the policies that the declaration governs; this is what a deployment runs. */
  public static SchedulingPolicies declared() {
    return new SchedulingPolicies(true, true, false, true, ReservationPolicy.LARGEST_AND_AGED);
  }

  /** Returns the declared policies over a pool without guarantees, for comparison. */
  public static SchedulingPolicies sharedPool() {
    return new SchedulingPolicies(false, true, false, true, ReservationPolicy.LARGEST_AND_AGED);
  }

  /** Returns arrival order with first fit and head-of-line blocking. */
  public static SchedulingPolicies fifoFirstFit() {
    return new SchedulingPolicies(false, false, true, false, ReservationPolicy.NONE);
  }

  /** Returns arrival order with best fit and backfill behind the first blocked job. */
  public static SchedulingPolicies backfillBestFit() {
    return new SchedulingPolicies(false, false, false, true, ReservationPolicy.FIRST_BLOCKED);
  }

  boolean guarantees() {
    return guarantees;
  }

  ReservationPolicy reserve() {
    return reserve;
  }

  JobOrderPolicy order(RunTimeEstimator estimates, FairShare shares, PolicyDeclaration declared) {
    return fair ? new FairShortestOrder(estimates, shares, declared) : new ArrivalOrder(blocking);
  }

  PlacementPolicy placement() {
    return bestFit ? new BestFitPlacement() : new FirstFitPlacement();
  }

  RunTimeEstimator estimates() {
    return fair ? new QuantileRunTimeEstimator() : new DeclaredRunTimeEstimator();
  }

  VictimPolicy victims() {
    return new LeastLossVictimPolicy();
  }
}
