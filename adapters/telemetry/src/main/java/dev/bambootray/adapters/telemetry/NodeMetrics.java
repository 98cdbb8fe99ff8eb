package dev.bambootray.adapters.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestStep;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

/**
 * Metrics of a node. Labels are regions, steps and outcomes, never workspaces or keys, so that the
 * number of series stays small. Thread-safe.
 */
public final class NodeMetrics {
  private static final double[] LATENCY_SECONDS = {
    0.000_1, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 10
  };
  private static final double[] COMPLETION_SECONDS = {
    0.005, 0.02, 0.1, 0.5, 1, 5, 30, 120, 600, 3_600, 21_600
  };
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
  private final Counter accepted = counter("requests_accepted", "Accepted requests", "region");
  private final Counter answered =
      counter("requests_answered", "Answered requests by whether they ran", "ran", "outcome");
  private final Counter refusals = counter("refusals", "Refused requests by step", "step");
  private final Counter dispatches = counter("dispatches", "Work handed to workers", "region");
  private final Counter retries = counter("retries", "Repeated attempts", "region");
  private final Counter storeCalls =
      counter("store_calls", "Calls to the platform's store", "call", "outcome");
  private final Counter peerBytes =
      counter("peer_bytes", "Bytes between nodes by region pair", "from", "to");
  private final Counter droppedMessages =
      counter("peer_dropped_messages", "Messages to other nodes that were dropped", "to");
  private final Gauge queueLength =
      gauge("queue_length", "Waiting requests of an owned region", "region", "kind");
  private final Gauge openRequests = gauge("open_requests", "Requests whose callers wait here");
  private final Gauge ownershipEpoch =
      gauge("ownership_epoch", "Epoch of an owned region, 0 if it is not owned", "region");
  private final Gauge configurationVersion =
      gauge("configuration_version", "Version of the declaration in force");
  private final Histogram controlLoop =
      histogram("control_loop_seconds", "Time of one control event", LATENCY_SECONDS);
  private final Histogram storeLatency =
      histogram("store_call_seconds", "Time of a store call", LATENCY_SECONDS, "call");
  private final Histogram completion =
      histogram("completion_seconds", "From acceptance to answer", COMPLETION_SECONDS, "kind");

  private NodeMetrics() {
    JvmMetrics.builder().register(registry);
  }

  /** Returns the metrics of one node, including those of its JVM. */
  public static NodeMetrics create() {
    return new NodeMetrics();
  }

  /** Counts an accepted request. */
  public void requestAccepted(RegionId region) {
    accepted.labelValues(region.value()).inc();
  }

  /**
   * Counts an answered request.
   *
   * @param ran whether it ran
   * @param succeeded whether the answer is a result
   * @param gang whether it was a gang rather than a service request
   * @param completionMs time from acceptance to answer, in milliseconds
   */
  public void requestAnswered(
      ExecutionStatus ran, boolean succeeded, boolean gang, long completionMs) {
    answered.labelValues(text(ran), succeeded ? "success" : "error").inc();
    completion.labelValues(kind(gang)).observe(completionMs / MILLIS_PER_SECOND);
  }

  /** Counts a refused request. */
  public void requestRefused(RequestStep step) {
    refusals.labelValues(text(step)).inc();
  }

  /** Counts work that was handed to a worker; a repeated attempt counts as a retry too. */
  public void dispatched(RegionId region, boolean retry) {
    dispatches.labelValues(region.value()).inc();
    if (retry) {
      retries.labelValues(region.value()).inc();
    }
  }

  /**
   * Counts a call to the store.
   *
   * @param call for example {@code commit}
   * @param outcome for example {@code committed}, {@code conflict} or {@code error}
   * @param durationNanos its time in nanoseconds
   */
  public void storeCalled(String call, String outcome, long durationNanos) {
    storeCalls.labelValues(call, outcome).inc();
    storeLatency.labelValues(call).observe(durationNanos / NANOS_PER_SECOND);
  }

  /** Counts bytes that were sent to a node. */
  public void peerBytesSent(RegionId from, RegionId to, int sizeBytes) {
    peerBytes.labelValues(from.value(), to.value()).inc(sizeBytes);
  }

  /** Counts a message to a node that was dropped. */
  public void peerMessageDropped(RegionId to) {
    droppedMessages.labelValues(to.value()).inc();
  }

  /** Sets the number of waiting requests of an owned region. */
  public void setQueueLength(RegionId region, boolean gang, int length) {
    queueLength.labelValues(region.value(), kind(gang)).set(length);
  }

  /** Sets the number of requests whose callers wait on this node. */
  public void setOpenRequests(int count) {
    openRequests.set(count);
  }

  /** Sets the epoch under which this node owns a region, 0 if it does not. */
  public void setOwnershipEpoch(RegionId region, long epoch) {
    ownershipEpoch.labelValues(region.value()).set((double) epoch);
  }

  /** Sets the version of the declaration in force. */
  public void setConfigurationVersion(long version) {
    configurationVersion.set((double) version);
  }

  /** Records the time of one event in the control loop. */
  public void controlEvent(long durationNanos) {
    controlLoop.observe(durationNanos / NANOS_PER_SECOND);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String expose() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(UTF_8);
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder()
        .name("bambootray_" + name)
        .help(help)
        .labelNames(labels)
        .register(registry);
  }

  private Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder()
        .name("bambootray_" + name)
        .help(help)
        .labelNames(labels)
        .register(registry);
  }

  private Histogram histogram(String name, String help, double[] bounds, String... labels) {
    return Histogram.builder()
        .name("bambootray_" + name)
        .help(help)
        .labelNames(labels)
        .classicOnly()
        .classicUpperBounds(bounds)
        .register(registry);
  }

  private static String kind(boolean gang) {
    return gang ? "gang" : "service";
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
