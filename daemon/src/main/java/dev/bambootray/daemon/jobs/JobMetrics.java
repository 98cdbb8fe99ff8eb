package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.JobScheduler;
import dev.bambootray.jobs.scheduling.StopCause;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Counters and latency histograms of a job node. */
public final class JobMetrics {
  private static final double MS_PER_S = 1_000.0;
  private static final double NANOS_PER_S = 1_000_000_000.0;
  private static final int INITIAL_TEXT_BYTES = 8_192;

  /** Bucket bounds from the latency of a healthy store up to the longest call of a caller. */
  private static final double[] LATENCY_BOUNDS_S = {0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter calls =
      Counter.builder()
          .name("bambootray_job_calls")
          .help("Calls of callers by kind and status.")
          .labelNames("kind", "status")
          .register(registry);
  private final Histogram callSeconds =
      Histogram.builder()
          .name("bambootray_job_call_seconds")
          .help("Time to answer a call.")
          .labelNames("kind")
          .classicUpperBounds(LATENCY_BOUNDS_S)
          .classicOnly()
          .register(registry);
  private final Histogram commitSeconds =
      Histogram.builder()
          .name("bambootray_job_commit_seconds")
          .help("Time of the owner's transactions.")
          .classicUpperBounds(LATENCY_BOUNDS_S)
          .classicOnly()
          .register(registry);
  private final Counter starts =
      Counter.builder()
          .name("bambootray_job_starts")
          .help("Orders to start a run.")
          .register(registry);
  private final Counter stops =
      Counter.builder()
          .name("bambootray_job_stops")
          .help("Runs that were stopped, by cause; repeated orders are not counted.")
          .labelNames("cause")
          .register(registry);
  private final Counter relayed =
      Counter.builder()
          .name("bambootray_job_store_relays")
          .help("Calls of the store that needed other nodes, by whether one of them had an answer.")
          .labelNames("outcome")
          .register(registry);
  private final Counter missedByFeed =
      Counter.builder()
          .name("bambootray_job_missed_by_feed")
          .help("Jobs that the owner looked up because the feed had not brought them.")
          .register(registry);
  private final Counter controlSeconds =
      Counter.builder()
          .name("bambootray_job_control_seconds")
          .help("Time that the control thread worked.")
          .register(registry);
  private final CallLatencies latencies = new CallLatencies();
  private final Gauge owner =
      Gauge.builder()
          .name("bambootray_job_owner")
          .help("Whether the node owns the pool.")
          .register(registry);
  private final Gauge open =
      Gauge.builder()
          .name("bambootray_job_open")
          .help("Jobs that are not final, at the owner.")
          .register(registry);
  private final Gauge free =
      Gauge.builder()
          .name("bambootray_job_free_accelerators")
          .help("Accelerators without a run, at the owner.")
          .register(registry);

  private final Gauge runsInClosedDomains =
      Gauge.builder()
          .name("bambootray_job_runs_in_closed_domains")
          .help("Runs on workers of closed failure domains, at the owner.")
          .register(registry);

  private final Gauge overdueGuarantees =
      Gauge.builder()
          .name("bambootray_job_overdue_guarantees")
          .help("Steps that wait for a guarantee for longer than 2.5 s, at the owner.")
          .register(registry);

  private final Gauge heldBytes =
      Gauge.builder()
          .name("bambootray_job_held_bytes")
          .help("Estimate of the memory that the accepted jobs take, at the owner.")
          .register(registry);

  private final Gauge formatOneJobs =
      Gauge.builder()
          .name("bambootray_job_format_1")
          .help("Jobs that are stored in format 1, at the owner.")
          .register(registry);

  /** Returns metrics in a registry of their own. */
  public static JobMetrics create() {
    return new JobMetrics();
  }

  private JobMetrics() {}

  /** Returns all metrics in the Prometheus text format. */
  public String expose() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_TEXT_BYTES);
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("metrics cannot be written to memory", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  /** Records an answered call of a caller. */
  public void recordCall(String kind, int status, long durationMs) {
    calls.labelValues(kind, Integer.toString(status)).inc();
    callSeconds.labelValues(kind).observe(durationMs / MS_PER_S);
  }

  /** Records a store call that was relayed to other nodes, and whether one of them answered. */
  public void relayed(boolean answered) {
    relayed.labelValues(answered ? "answered" : "failed").inc();
  }

  void missedByFeed() {
    missedByFeed.inc();
  }

  void recordCommit(long durationMs, boolean answered) {
    commitSeconds.observe(durationMs / MS_PER_S);
    latencies.record(CallLatencies.Kind.COMMITS, durationMs, answered);
  }

  /** Returns the latencies of the owner's calls since the last report in the log. */
  CallLatencies latencies() {
    return latencies;
  }

  void recordStart() {
    starts.inc();
  }

  void recordStop(StopCause cause) {
    stops.labelValues(cause.label()).inc();
  }

  void recordControlEvent(long durationNanos) {
    controlSeconds.inc((double) durationNanos / NANOS_PER_S);
  }

  void owner(boolean value) {
    owner.set(value ? 1 : 0);
  }

  void setFormatOneJobs(int count) {
    formatOneJobs.set((double) count);
  }

  void setLoad(JobScheduler.Load load) {
    open.set((double) load.openJobs());
    free.set((double) load.freeAccelerators());
    runsInClosedDomains.set((double) load.runsInClosedDomains());
    overdueGuarantees.set((double) load.overdueGuarantees());
    heldBytes.set((double) load.heldBytes());
  }
}
