package dev.bambootray.jobs.store;

/**
 * Holds a row of a table with its version.
 *
 * @param table table of the row
 * @param key key of the row
 * @param value content, empty if the row was removed
 * @param version version of the last change
 * @param removed whether the row was removed
 */
@SuppressWarnings("ArrayRecordComponent") // Rows are never compared.
public record Row(String table, String key, byte[] value, long version, boolean removed) {}
