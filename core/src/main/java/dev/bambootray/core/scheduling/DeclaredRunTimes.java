package dev.bambootray.core.scheduling;

/** Takes the declared run time as it is. */
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
