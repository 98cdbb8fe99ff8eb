package dev.bambootray.jobs.store;

/**
 * Requires a version of a row for a transaction to be applied.
 *
 * @param table table of the row
 * @param key key of the row
 * @param version required version, 0 if the row must not exist
 */
public record RowCondition(String table, String key, long version) {}
