package dev.bambootray.soak;

import dev.bambootray.soak.FaultKind.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Draws the faults of a run; the same seed gives the same plan. */
final class FaultPlan {
  private static final long SHORTEST_FAULT_MS = 300;
  private static final long LONGEST_FAULT_MS = 6_000;

  /** Mean time between the beginnings of two faults; most of them overlap another one. */
  private static final double MEAN_GAP_MS = 900;

  /** Share of faults that repeat the kind and target of the one before. */
  private static final double SERIES_SHARE = 0.2;

  /** Every so many seeds a run has planned work only. */
  private static final int PLANNED_EVERY = 5;

  /** Mean time between two faults of a kind that comes in waves. */
  private static final double MEAN_WAVE_GAP_MS = 4_000;

  private static final long SHORTEST_WAVE_MS = 100;
  private static final long LONGEST_WAVE_MS = 3_000;

  /** Kinds that are drawn apart, so that a seed keeps the other faults that it has. */
  private static final Set<FaultKind> DRAWN_APART =
      EnumSet.of(
          FaultKind.WORKER_WAVE,
          FaultKind.REGISTRY_ODD,
          FaultKind.REGISTRY_EXPIRES,
          FaultKind.DOMAIN_CLOSED,
          FaultKind.STORE_RESTARTS,
          FaultKind.STORE_CLOSES,
          FaultKind.NODE_UPGRADE,
          FaultKind.NODE_DOWNGRADE);

  private FaultPlan() {}

  /** Returns whether the run of a seed has planned work only. */
  static boolean isPlannedOnly(long seed) {
    return seed % PLANNED_EVERY == 0;
  }

  /**
   * Draws a plan.
   *
   * @param seed its seed
   * @param nodes number of nodes
   * @param workers number of workers
   * @param lengthMs time within which faults begin
   */
  static List<Fault> draw(long seed, int nodes, int workers, long lengthMs) {
    SplittableRandom random = new SplittableRandom(seed);
    List<FaultKind> kinds =
        Arrays.stream(FaultKind.values())
            .filter(one -> !DRAWN_APART.contains(one))
            .filter(one -> one.isPlanned() || !isPlannedOnly(seed))
            .toList();
    List<Fault> faults = new ArrayList<>();
    double atMs = 0;
    FaultKind kind = kinds.get(0);
    int target = 0;
    while (true) {
      atMs += gapMs(random, MEAN_GAP_MS);
      if (atMs >= lengthMs) {
        break;
      }
      if (faults.isEmpty() || random.nextDouble() >= SERIES_SHARE) {
        kind = kinds.get(random.nextInt(kinds.size()));
        target = random.nextInt(kind.scope() == Scope.WORKER ? workers : nodes);
      }
      long forMs = random.nextLong(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
      faults.add(new Fault((long) atMs, kind, target, forMs));
    }
    if (!isPlannedOnly(seed)) {
      faults.addAll(drawWaves(random.split(), FaultKind.WORKER_WAVE, workers, lengthMs));
      faults.addAll(drawWaves(random.split(), FaultKind.REGISTRY_ODD, nodes, lengthMs));
      faults.addAll(drawWaves(random.split(), FaultKind.REGISTRY_EXPIRES, nodes, lengthMs));
      faults.addAll(drawWaves(random.split(), FaultKind.DOMAIN_CLOSED, workers, lengthMs));
      faults.addAll(drawWaves(random.split(), FaultKind.STORE_RESTARTS, nodes, lengthMs));
      faults.addAll(drawWaves(random.split(), FaultKind.STORE_CLOSES, nodes, lengthMs));
    }
    faults.sort(Comparator.comparingLong(Fault::atMs));
    return faults;
  }

  private static List<Fault> drawWaves(
      SplittableRandom random, FaultKind kind, int targets, long lengthMs) {
    List<Fault> waves = new ArrayList<>();
    double atMs = gapMs(random, MEAN_WAVE_GAP_MS);
    while (atMs < lengthMs) {
      long forMs = random.nextLong(SHORTEST_WAVE_MS, LONGEST_WAVE_MS);
      waves.add(new Fault((long) atMs, kind, random.nextInt(targets), forMs));
      atMs += gapMs(random, MEAN_WAVE_GAP_MS);
    }
    return waves;
  }

  private static double gapMs(SplittableRandom random, double meanMs) {
    return -Math.log(1 - random.nextDouble()) * meanMs;
  }
}
