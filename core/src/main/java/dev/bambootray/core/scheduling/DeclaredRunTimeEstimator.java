package dev.bambootray.core.scheduling;

/** Estimates every run time as the declared one. */
final class DeclaredRunTimeEstimator implements RunTimeEstimator {
  @Override
  public long typicalMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public long cautiousMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public long pessimisticMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public void observe(Job job, long ranMs) {}
}
