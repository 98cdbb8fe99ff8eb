package dev.bambootray.core.scheduling;

/** Predicts how long jobs run. */
interface RunTimeEstimate {
  /** Returns the likely run time of a job in milliseconds, from its beginning. */
  long typicalMs(Job job);

  /** Returns a run time in milliseconds that a job rarely exceeds, from its beginning. */
  long cautiousMs(Job job);

  /** Returns a run time in milliseconds for promises that depend on the longest of many jobs. */
  long promisableMs(Job job);

  /** Learns from a job that ran to its end. */
  void observe(Job job, long ranMs);
}
