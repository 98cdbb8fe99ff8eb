package dev.bambootray.core.scheduling;

/** Orders jobs by their arrival. */
final class ArrivalOrder implements JobOrderPolicy {
  private final boolean blocking;

  ArrivalOrder(boolean blocking) {
    this.blocking = blocking;
  }

  @Override
  public double score(Job job, long nowMs) {
    return job.sequence;
  }

  @Override
  public boolean hasHeadOfLineBlocking() {
    return blocking;
  }
}
