package dev.bambootray.daemon;

import dev.bambootray.adapters.telemetry.Hop;
import dev.bambootray.core.worker.WorkerCommand;
import org.jspecify.annotations.Nullable;

/**
 * A command to a worker with the span of its hop.
 *
 * @param command the command to send
 * @param hop its span, or null if the command is not part of a request's path
 */
record WorkerHop(WorkerCommand command, @Nullable Hop hop) {}
