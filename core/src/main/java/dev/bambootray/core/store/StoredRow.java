package dev.bambootray.core.store;

/**
 * A row of the platform's table.
 *
 * @param key its key, ordered as text
 * @param value its value as JSON
 * @param version rises with each write of the row, from 1; 0 stands for an absent row
 */
public record StoredRow(String key, String value, long version) {}
