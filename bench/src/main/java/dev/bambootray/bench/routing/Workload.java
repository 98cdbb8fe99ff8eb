package dev.bambootray.bench.routing;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Arrivals of one replay; every policy gets the same ones. */
final class Workload {
  /**
   * A request.
   *
   * @param index place in the order of arrival
   * @param arrivalUs when the caller sends it
   * @param node the node that it enters
   * @param workspace the workspace, from 0
   * @param repeatable whether it may run more than once
   * @param serviceUs run time on a target of normal speed; it belongs to the request, so a second
   *     run takes as long
   * @param requestBytes size of its body
   * @param resultBytes size of its result
   */
  record Arrival(
      int index,
      long arrivalUs,
      int node,
      int workspace,
      boolean repeatable,
      long serviceUs,
      int requestBytes,
      int resultBytes) {

    int region() {
      return Topology.regionOfNode(node);
    }

    long bytes() {
      return (long) requestBytes + resultBytes;
    }
  }

  static final long DEADLINE_MS = 10_000;
  static final int WORKSPACES = 4;

  /** Run times follow a Pareto distribution with infinite variance, cut at 200 times the least. */
  private static final double TAIL = 1.5;

  private static final double MIN_SERVICE_US = 40_000;
  private static final double MAX_SERVICE_US = 8_000_000;
  private static final double REPEATABLE_SHARE = 0.9;

  /** Shares of the regions in the arrivals; one region gets more than its share of the targets. */
  private static final double[] REGION_SHARES = {0.36, 0.34, 0.30};

  /** Shares of the workspaces in the arrivals: a few are large. */
  private static final double[] WORKSPACE_SHARES = {0.45, 0.35, 0.15, 0.05};

  private Workload() {}

  /** Draws arrivals at the benchmark's load of the targets that stay healthy. */
  static List<Arrival> draw(Topology topology, long durationUs, UniformRandomProvider random) {
    SharedStateContinuousSampler service =
        InverseTransformParetoSampler.of(random, MIN_SERVICE_US, TAIL);
    ZigguratSampler.Exponential gap =
        ZigguratSampler.Exponential.of(random, meanServiceUs() / slots(topology) / Topology.LOAD);
    List<Arrival> arrivals = new ArrayList<>();
    for (double atUs = gap.sample(); atUs < durationUs; atUs += gap.sample()) {
      int region = pick(REGION_SHARES, random);
      arrivals.add(
          new Arrival(
              arrivals.size(),
              (long) atUs,
              region + Topology.REGIONS * random.nextInt(Topology.NODES / Topology.REGIONS),
              pick(WORKSPACE_SHARES, random),
              random.nextDouble() < REPEATABLE_SHARE,
              (long) sampleBounded(service),
              1_024 + random.nextInt(4_096),
              4_096 + random.nextInt(32_768)));
    }
    return arrivals;
  }

  private static double slots(Topology topology) {
    return topology.healthyTargets() * Topology.SLOTS;
  }

  private static double sampleBounded(SharedStateContinuousSampler service) {
    double sample = service.sample();
    while (sample > MAX_SERVICE_US) {
      sample = service.sample();
    }
    return sample;
  }

  /** Returns the mean of the bounded Pareto distribution. */
  private static double meanServiceUs() {
    double ratio = MIN_SERVICE_US / MAX_SERVICE_US;
    return MIN_SERVICE_US
        * TAIL
        / (TAIL - 1)
        * (1 - Math.pow(ratio, TAIL - 1))
        / (1 - Math.pow(ratio, TAIL));
  }

  private static int pick(double[] shares, UniformRandomProvider random) {
    double left = random.nextDouble();
    for (int i = 0; i < shares.length - 1; i++) {
      left -= shares[i];
      if (left < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }
}
