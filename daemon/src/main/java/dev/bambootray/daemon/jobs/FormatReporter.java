package dev.bambootray.daemon.jobs;

/** Reports the number of jobs stored in format 1 as a metric, and logs each change of it. */
final class FormatReporter {
  private final String node;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private final StoreFormats formats;
  private int loggedJobs;

  /**
   * Creates a reporter.
   *
   * @param node name of this node
   * @param log the decision log
   * @param metrics shows the newest number
   * @param formats counts the jobs
   */
  FormatReporter(String node, DecisionLog log, JobMetrics metrics, StoreFormats formats) {
    this.node = node;
    this.log = log;
    this.metrics = metrics;
    this.formats = formats;
  }

  /** Reports the number of jobs in format 1. */
  void report() {
    int jobs = formats.formatOneJobs();
    metrics.setFormatOneJobs(jobs);
    if (jobs != loggedJobs) {
      loggedJobs = jobs;
      log.line("format:", node, "jobs_in_format_1=" + jobs);
    }
  }
}
