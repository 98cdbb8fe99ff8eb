package dev.bambootray.documents;

import org.jspecify.annotations.Nullable;

/**
 * Export of traces.
 *
 * @param otlpEndpoint HTTP URL of an OTLP collector, or null for no export
 * @param samplingRatio share of requests that are traced, 0 to 1
 */
public record TelemetrySettings(@Nullable String otlpEndpoint, double samplingRatio) {

  /** Returns no export, and one request in a hundred sampled. */
  public static TelemetrySettings defaults() {
    return new TelemetrySettings(null, 0.01);
  }
}
