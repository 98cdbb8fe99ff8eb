package dev.bambootray.core.store;

import org.jspecify.annotations.Nullable;

/** A read of the table. */
public sealed interface StoreRead {

  /**
   * Reads one row.
   *
   * @param key the row
   */
  record Row(String key) implements StoreRead {}

  /**
   * Reads rows whose key starts with a prefix, in the order of their keys.
   *
   * @param prefix the prefix
   * @param afterKey key to continue after, or null to begin
   * @param limit maximum number of rows in the page, 1 to 1,000
   */
  record Page(String prefix, @Nullable String afterKey, int limit) implements StoreRead {}
}
