package dev.bambootray.adapters.telemetry;

import java.util.Locale;

/**
 * What a span may say. Only these attributes exist, so that parameters, results and tokens cannot
 * reach a trace.
 */
public enum SpanAttribute {
  /** Workspace and idempotency key. */
  REQUEST,
  /** Template of the request. */
  TEMPLATE,
  /** Region that serves the request. */
  REGION,
  /** Node that handles the hop. */
  NODE,
  /** Worker that runs the task. */
  WORKER,
  /** Attempt token. */
  ATTEMPT,
  /** Epoch of the owner. */
  EPOCH,
  /** Whether the request ran. */
  RAN;

  String key() {
    return "bambootray." + name().toLowerCase(Locale.ROOT);
  }
}
