package dev.bambootray.bench.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

/**
 * Targets, their places and their faults in one replay: 3 regions with 3 nodes, 10 targets and 3
 * failure domains each.
 */
final class Topology {
  static final int REGIONS = 3;
  static final int NODES = 9;
  static final int TARGETS = 30;
  static final int SLOTS = 8;
  static final int DOMAINS = 9;
  static final double LOAD = 0.85;
  static final int SLOW_FACTOR = 10;

  static final long CLIENT_US = 3_000;
  static final long LOCAL_US = 500;
  static final long REGION_US = 20_000;

  /** Time after which nodes know that a worker is lost. */
  static final long LOSS_KNOWN_US = 3_000_000;

  private static final int SLOW_TARGETS = TARGETS / 10;
  private static final int FAILING_TARGETS = TARGETS / 2;
  private static final long NEVER = Long.MAX_VALUE;

  private final long[] slowFromUs = new long[TARGETS];
  private final long[] lostFromUs = new long[TARGETS];
  private final boolean[] failing = new boolean[TARGETS];
  private final double healthyTargets;

  private Topology(double healthyTargets) {
    this.healthyTargets = healthyTargets;
    java.util.Arrays.fill(slowFromUs, NEVER);
    java.util.Arrays.fill(lostFromUs, NEVER);
  }

  /** Draws the faults of a scenario; slow targets and the lost domain do not overlap. */
  static Topology draw(Scenario scenario, long durationUs, UniformRandomProvider random) {
    int[] order = PermutationSampler.natural(TARGETS);
    PermutationSampler.shuffle(random, order);
    if (scenario == Scenario.HALF_FAILING) {
      Topology topology = new Topology(TARGETS - FAILING_TARGETS);
      for (int i = 0; i < FAILING_TARGETS; i++) {
        topology.failing[order[i]] = true;
      }
      return topology;
    }
    if (scenario == Scenario.NORMAL) {
      return new Topology(TARGETS);
    }
    int lostDomain = random.nextInt(DOMAINS);
    int lost = 0;
    for (int target = 0; target < TARGETS; target++) {
      lost += domainOf(target) == lostDomain ? 1 : 0;
    }
    Topology topology = new Topology(TARGETS - SLOW_TARGETS - lost);
    int slow = 0;
    for (int target : order) {
      if (domainOf(target) == lostDomain) {
        topology.lostFromUs[target] = durationUs / 2;
      } else if (slow < SLOW_TARGETS) {
        topology.slowFromUs[target] = durationUs / 4;
        slow++;
      }
    }
    return topology;
  }

  static int regionOf(int target) {
    return target % REGIONS;
  }

  static int regionOfNode(int node) {
    return node % REGIONS;
  }

  static int domainOf(int target) {
    return target % DOMAINS;
  }

  /** Returns the targets that neither fail nor are slow or lost in the end. */
  double healthyTargets() {
    return healthyTargets;
  }

  boolean isLost(int target, long nowUs) {
    return nowUs >= lostFromUs[target];
  }

  boolean isKnownLost(int target, long nowUs) {
    return lostFromUs[target] != NEVER && nowUs >= lostFromUs[target] + LOSS_KNOWN_US;
  }

  boolean isEverLost(int target) {
    return lostFromUs[target] != NEVER;
  }

  long lostFromUs(int target) {
    return lostFromUs[target];
  }

  boolean isSlow(int target, long nowUs) {
    return nowUs >= slowFromUs[target];
  }

  boolean isFailing(int target) {
    return failing[target];
  }

  long runUs(int target, long serviceUs, long nowUs) {
    return isSlow(target, nowUs) ? serviceUs * SLOW_FACTOR : serviceUs;
  }
}
