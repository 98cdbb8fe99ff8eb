package dev.bambootray.core.scheduling;

/** Estimates every run time as the declared one. */
final class DeclaredRunTimes implements RunTimeEstimate {
  @Override
  public long typicalMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public long cautiousMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public long promisableMs(Job job) {
    return job.request.template().expectedRunMs();
  }

  @Override
  public void observe(Job job, long ranMs) {}
}
