package dev.bambootray.jobs.store;

import java.util.List;

/**
 * Holds a consistent read of a range of rows.
 *
 * @param rows the rows in key order
 * @param more whether the range contains more rows
 * @param version version of the store at the time of the read
 */
public record RowReadPage(List<Row> rows, boolean more, long version) {
  /** Copies the list. */
  public RowReadPage {
    rows = List.copyOf(rows);
  }
}
