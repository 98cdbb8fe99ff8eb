package dev.bambootray.core.snapshot;

/**
 * The reason why a snapshot was rejected as a whole.
 *
 * @param part the part of the snapshot: {@code header} or {@code run times}
 * @param message what is invalid and what is missing
 */
public record SnapshotError(String part, String message) {}
