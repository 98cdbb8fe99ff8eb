package dev.bambootray.core.routing;

import java.util.List;

/**
 * Ejects a target that fails many different requests in a row, unless the better targets of its
 * service fail as well or too large a share of the targets would be ejected.
 */
final class OutlierEjectionPolicy implements EjectionPolicy {
  private static final int MIN_STREAK = 5;

  /**
   * A failure streak is attributed to chance if a target as good as the better ones shows it with
   * at least this probability.
   */
  private static final double MAX_CHANCE_PROBABILITY = 1e-4;

  /** Failure rate of the better targets at which failures are attributed to the requests. */
  private static final double ALL_FAILING_RATE = 0.9;

  @Override
  public Action actionFor(Target target, double maxShare) {
    if (target.failureStreak() < MIN_STREAK) {
      return Action.KEEP;
    }
    double usual = lowerQuartileOfFailureRates(target.pool);
    if (usual >= ALL_FAILING_RATE
        || Math.pow(usual, target.failureStreak()) >= MAX_CHANCE_PROBABILITY) {
      return Action.KEEP;
    }
    return withinShare(target.pool, maxShare) ? Action.EJECT : Action.PACE;
  }

  private static boolean withinShare(ServicePool pool, double maxShare) {
    int joined = 0;
    int ejected = 0;
    for (Target target : pool.targets) {
      joined += target.isJoined() ? 1 : 0;
      ejected += target.isJoined() && target.isEjected() ? 1 : 0;
    }
    return ejected + 1 <= maxShare * joined && ejected + 1 < joined;
  }

  private static double lowerQuartileOfFailureRates(ServicePool pool) {
    List<Double> rates =
        pool.targets.stream()
            .filter(target -> target.isJoined())
            .map(target -> target.failureRate)
            .sorted()
            .toList();
    return rates.isEmpty() ? 0 : rates.get(rates.size() / 4);
  }
}
