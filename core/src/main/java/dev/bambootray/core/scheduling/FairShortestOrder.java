package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.PolicyDeclaration;

/**
 * Orders jobs by the accelerator time that they need, shortest first, weighted by the share that
 * the workspace has used and by the time that the job has waited.
 */
final class FairShortestOrder implements JobOrderPolicy {
  /** Added to each share, so that a job of an unused workspace does not win whatever its size. */
  private static final double SHARE_OFFSET = 0.1;

  /** Factor that puts urgent jobs before all others. */
  private static final double URGENT_FACTOR = 1e-9;

  private final RunTimeEstimator estimates;
  private final FairShare shares;
  private final double sizeExponent;
  private final long ageingMs;

  FairShortestOrder(RunTimeEstimator estimates, FairShare shares, PolicyDeclaration policy) {
    this.estimates = estimates;
    this.shares = shares;
    double sum = policy.completionTimeWeight() + policy.fragmentationWeight();
    this.sizeExponent = sum <= 0 ? 0.5 : policy.completionTimeWeight() / sum;
    this.ageingMs = Math.max(1, policy.ageingMs());
  }

  @Override
  public double score(Job job, long nowMs) {
    double runMs = Math.max(1, estimates.typicalMs(job) - job.ranMs);
    double size = Math.pow(job.shape.totalAccelerators(), sizeExponent);
    double share = SHARE_OFFSET + shares.weightedShare(job.workspace(), nowMs);
    double waited = (double) Math.max(0, nowMs - job.request.spec().submittedAtMs()) / ageingMs;
    double score = runMs * size * share / (1 + waited * waited);
    return job.request.spec().urgent() ? score * URGENT_FACTOR : score;
  }

  @Override
  public boolean hasHeadOfLineBlocking() {
    return false;
  }
}
