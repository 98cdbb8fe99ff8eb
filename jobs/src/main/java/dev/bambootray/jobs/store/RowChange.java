package dev.bambootray.jobs.store;

import org.jspecify.annotations.Nullable;

/**
 * Describes a row to write or to remove.
 *
 * @param table table of the row
 * @param key key of the row
 * @param value new content, or null to remove the row
 */
@SuppressWarnings("ArrayRecordComponent") // Changes are never compared.
public record RowChange(String table, String key, byte @Nullable [] value) {}
