package dev.bambootray.bench.jobs;

import java.util.Map;

/**
 * What a load was worth under a policy.
 *
 * @param byKind value earned and owed, by kind of job
 * @param lostShare work that was done in vain, as a share of the work of all jobs
 * @param lostCoreSeconds the same in core-seconds
 * @param slowestGuaranteeMs longest time until the first run of a job of the first priority
 * @param bound share of the value owed that no schedule exceeds
 */
record JobReplayResult(
    Map<String, double[]> byKind,
    double lostShare,
    double lostCoreSeconds,
    long slowestGuaranteeMs,
    double bound) {

  /** Price of a core-second of work that was done in vain, as on the users' sheets. */
  private static final double LOST_WORK_PRICE = 0.001;

  /** Returns the share of the value owed that was earned, less the price of work done in vain. */
  double net() {
    double owed = byKind.values().stream().mapToDouble(sums -> sums[1]).sum();
    return owed == 0 ? 1 : share() - LOST_WORK_PRICE * lostCoreSeconds / owed;
  }

  /** Returns the share of the value owed that was earned. */
  double share() {
    double earned = byKind.values().stream().mapToDouble(sums -> sums[0]).sum();
    double owed = byKind.values().stream().mapToDouble(sums -> sums[1]).sum();
    return owed == 0 ? 1 : earned / owed;
  }

  /** Returns the share of a kind of job, or 1 if none is owed. */
  double share(String kind) {
    double[] sums = byKind.get(kind);
    return sums == null || sums[1] == 0 ? 1 : sums[0] / sums[1];
  }
}
