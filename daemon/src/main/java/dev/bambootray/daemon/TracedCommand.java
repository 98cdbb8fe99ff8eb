package dev.bambootray.daemon;

import dev.bambootray.adapters.telemetry.Hop;
import dev.bambootray.core.worker.WorkerCommand;
import org.jspecify.annotations.Nullable;

/**
 * A command to a worker and the tracing span that covers it.
 *
 * @param command the command to send
 * @param span the span, or null if the command does not run a task
 */
record TracedCommand(WorkerCommand command, @Nullable Hop span) {}
