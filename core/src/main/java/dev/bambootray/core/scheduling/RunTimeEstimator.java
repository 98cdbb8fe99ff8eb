package dev.bambootray.core.scheduling;

/** Estimates the run times of jobs. */
interface RunTimeEstimator {
  /** Returns the likely total run time of a job in milliseconds. */
  long typicalMs(Job job);

  /** Returns a total run time in milliseconds that a job rarely exceeds. */
  long cautiousMs(Job job);

  /** Returns the run time in milliseconds for promises that depend on the longest of many jobs. */
  long pessimisticMs(Job job);

  /** Records the total run time of a completed job. */
  void observe(Job job, long ranMs);
}
