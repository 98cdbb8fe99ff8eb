package dev.bambootray.jobs.store;

import org.jspecify.annotations.Nullable;

/**
 * A row to write or to remove.
 *
 * @param table its table
 * @param key its key
 * @param value new content, or null to remove it
 */
@SuppressWarnings("ArrayRecordComponent") // A change is passed on, never compared.
public record RowChange(String table, String key, byte @Nullable [] value) {}
