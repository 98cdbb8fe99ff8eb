package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.JobScheduler;

/** Reports the load of the pool as metrics, and in the decision log while jobs are open. */
final class LoadReporter {
  static final long LINE_INTERVAL_MS = 1_000;

  private final String node;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private long nextLineMs;

  /**
   * Creates a reporter.
   *
   * @param node name of this node
   * @param log the decision log, which gets at most one line in each interval
   * @param metrics shows the newest load
   */
  LoadReporter(String node, DecisionLog log, JobMetrics metrics) {
    this.node = node;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Reports a load.
   *
   * @param load the load
   * @param epoch epoch of the owner that observed it
   * @param nowMs time by {@link JobNode#now}
   */
  void report(JobScheduler.Load load, long epoch, long nowMs) {
    metrics.setLoad(load);
    if (load.openJobs() > 0 && nowMs >= nextLineMs) {
      nextLineMs = nowMs + LINE_INTERVAL_MS;
      log.line("sched:", node, "epoch=" + epoch + " load " + load);
    }
  }
}
