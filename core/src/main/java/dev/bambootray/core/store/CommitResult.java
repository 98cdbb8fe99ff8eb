package dev.bambootray.core.store;

import java.util.List;

/** The outcome of a transaction that the table answered. */
public sealed interface CommitResult {

  /**
   * The transaction took effect, now or when the same token was sent before.
   *
   * @param versions new versions of its rows, in the order of its writes
   */
  record Committed(List<Long> versions) implements CommitResult {}

  /**
   * A condition did not hold; nothing was written.
   *
   * @param current the current rows whose condition failed; an absent row has version 0
   */
  record Conflict(List<StoredRow> current) implements CommitResult {}
}
