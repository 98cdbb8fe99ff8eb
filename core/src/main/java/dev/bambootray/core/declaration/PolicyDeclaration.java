package dev.bambootray.core.declaration;

/**
 * Weights and limits of scheduling and routing.
 *
 * @param completionTimeWeight weight of completion time, 0 to 1
 * @param fragmentationWeight weight of fragmentation, 0 to 1
 * @param shareHalfLifeMs half-life of past use in fair sharing, in milliseconds
 * @param ageingMs waiting time after which a job takes precedence over fair sharing, in
 *     milliseconds
 * @param ejectionMaxShare largest share of a service's targets that may be ejected at once, 0 to 1
 * @param retryBudgetShare retries as a share of first attempts in 10 s, 0 to 1
 * @param hedgeAfterQuantile quantile of run time after which a repeatable request is hedged; 1 for
 *     never
 * @param spillHysteresisMs change of expected wait needed before requests spill to or return from
 *     another region, in milliseconds
 */
public record PolicyDeclaration(
    double completionTimeWeight,
    double fragmentationWeight,
    long shareHalfLifeMs,
    long ageingMs,
    double ejectionMaxShare,
    double retryBudgetShare,
    double hedgeAfterQuantile,
    long spillHysteresisMs) {

  /** Returns the policy that applies when none is declared. */
  public static PolicyDeclaration defaults() {
    return new PolicyDeclaration(0.5, 0.5, 3_600_000, 600_000, 0.5, 0.1, 0.99, 20);
  }
}
