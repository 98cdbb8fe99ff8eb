package dev.bambootray.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws how nodes are replaced by those of another build; the same seed gives the same plan. */
final class UpgradePlan {
  /** Every so many seeds the upgrade is taken back half way. */
  private static final int TAKEN_BACK_EVERY = 3;

  /** Shares of the run before the first replacement and after the last one. */
  private static final double EDGE_SHARE = 0.1;

  /** A replacement ends before this; another one of the same node may wait for it. */
  private static final long REPLACEMENT_MS = 6_000;

  private static final long SHORTEST_FAULT_MS = 500;
  private static final long LONGEST_FAULT_MS = 3_000;

  /** What meets every upgrade that is disturbed at all, beside the faults of {@link FaultPlan}. */
  private static final List<FaultKind> DISTURBANCES =
      List.of(
          FaultKind.NODE_KILL,
          FaultKind.STORE_LINK_CUT_THERE,
          FaultKind.STORE_LINK_CUT_BACK,
          FaultKind.STORE_REFUSES);

  private UpgradePlan() {}

  /** Returns whether the upgrade of a seed is taken back half way. */
  static boolean isTakenBack(long seed) {
    return seed % TAKEN_BACK_EVERY == 0;
  }

  /**
   * Draws the replacements of a run and what disturbs them.
   *
   * @param seed its seed
   * @param nodes number of nodes
   * @param lengthMs time within which faults begin
   */
  static List<Fault> draw(long seed, int nodes, long lengthMs) {
    SplittableRandom random = new SplittableRandom(~seed);
    List<Fault> steps = replacements(seed, shuffled(random, nodes));
    long beginMs = (long) (lengthMs * EDGE_SHARE);
    long windowMs = lengthMs - 2 * beginMs;
    long gapMs = Math.max(1, windowMs / steps.size());
    List<Fault> plan = new ArrayList<>();
    for (Fault step : steps) {
      long atMs = beginMs + plan.size() * gapMs + random.nextLong(gapMs);
      plan.add(new Fault(atMs, step.kind(), step.target(), REPLACEMENT_MS));
    }
    if (!FaultPlan.isPlannedOnly(seed)) {
      for (FaultKind kind : DISTURBANCES) {
        long atMs = beginMs + random.nextLong(windowMs);
        long forMs = random.nextLong(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
        plan.add(new Fault(atMs, kind, random.nextInt(nodes), forMs));
      }
    }
    plan.sort(Comparator.comparingLong(Fault::atMs));
    return plan;
  }

  /** Returns the replacements in their order, without times. */
  private static List<Fault> replacements(long seed, List<Integer> order) {
    boolean takenBack = isTakenBack(seed);
    int forward = takenBack ? (order.size() + 1) / 2 : order.size();
    List<Fault> steps = new ArrayList<>();
    for (int i = 0; i < forward; i++) {
      steps.add(new Fault(0, FaultKind.NODE_UPGRADE, order.get(i), 0));
    }
    for (int i = forward - 1; takenBack && i >= 0; i--) {
      steps.add(new Fault(0, FaultKind.NODE_DOWNGRADE, order.get(i), 0));
    }
    return steps;
  }

  private static List<Integer> shuffled(SplittableRandom random, int nodes) {
    List<Integer> order = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      order.add(random.nextInt(order.size() + 1), node);
    }
    return order;
  }
}
