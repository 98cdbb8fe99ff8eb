/** Metrics, traces and logs. */
@NullMarked
package dev.bambootray.adapters.telemetry;

import org.jspecify.annotations.NullMarked;
