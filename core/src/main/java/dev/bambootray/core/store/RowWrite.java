package dev.bambootray.core.store;

import org.jspecify.annotations.Nullable;

/**
 * A conditional write of one row.
 *
 * @param key the row
 * @param value the new value as JSON, or null to delete the row
 * @param expectedVersion the version that the row must have, 0 if it must be absent, {@link
 *     #ANY_VERSION} for no condition
 */
public record RowWrite(String key, @Nullable String value, long expectedVersion) {

  /** Expected version of a write without a condition. */
  public static final long ANY_VERSION = -1;
}
