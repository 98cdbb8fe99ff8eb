package dev.bambootray.jobs.store;

/**
 * A version that a row must have for a transaction to apply.
 *
 * @param table its table
 * @param key its key
 * @param version its version, 0 if it must not exist
 */
public record RowCondition(String table, String key, long version) {}
