package dev.bambootray.daemon;

import dev.bambootray.documents.ExitCode;

/**
 * The reason why a node could not start.
 *
 * @param exitCode exit code of the process
 * @param message one line for the operator
 */
public record StartError(ExitCode exitCode, String message) {}
