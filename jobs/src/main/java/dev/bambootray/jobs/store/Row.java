package dev.bambootray.jobs.store;

/**
 * A versioned row.
 *
 * @param table its table
 * @param key its key
 * @param value its content, empty if it was removed
 * @param version version of its last change
 * @param removed whether it was removed
 */
@SuppressWarnings("ArrayRecordComponent") // A row is passed on, never compared.
public record Row(String table, String key, byte[] value, long version, boolean removed) {}
