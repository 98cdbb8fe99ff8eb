package dev.bambootray.core.snapshot;

/**
 * Why a snapshot was refused; nothing of it is used.
 *
 * @param part the part of the snapshot: {@code header} or {@code run times}
 * @param message what is wrong with it and what is missing
 */
public record SnapshotError(String part, String message) {}
