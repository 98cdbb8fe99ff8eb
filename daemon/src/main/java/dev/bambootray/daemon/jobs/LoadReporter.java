package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.JobScheduler;

/** Reports the load of the pool as metrics, and in the decision log while jobs are open. */
final class LoadReporter {
  static final long LINE_INTERVAL_MS = 1_000;

  private final String node;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private long nextLineMs;
  private long lastReportMs = Long.MAX_VALUE;
  private long longestPauseMs;

  /**
   * Creates a reporter.
   *
   * @param node name of this node
   * @param log the decision log, which gets at most one line in each interval
   * @param metrics shows the newest load and knows the latencies of the owner's calls
   */
  LoadReporter(String node, DecisionLog log, JobMetrics metrics) {
    this.node = node;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Reports a load; to be called at each tick of the owner, whose longest pause it reports too.
   *
   * @param load the load
   * @param epoch epoch of the owner that observed it
   * @param nowMs time by {@link JobNode#now}
   */
  void report(JobScheduler.Load load, long epoch, long nowMs) {
    metrics.setLoad(load);
    longestPauseMs = Math.max(longestPauseMs, nowMs - lastReportMs);
    lastReportMs = nowMs;
    if (load.openJobs() > 0 && nowMs >= nextLineMs) {
      nextLineMs = nowMs + LINE_INTERVAL_MS;
      log.line(
          "sched:",
          node,
          "epoch="
              + epoch
              + " load "
              + load
              + " longest_pause_ms="
              + longestPauseMs
              + " "
              + metrics.latencies().report());
      longestPauseMs = 0;
    }
  }
}
