package dev.bambootray.jobs.store;

import java.util.List;

/**
 * Rows read at one moment.
 *
 * @param rows the rows in the order of their keys
 * @param more whether the range holds more rows
 * @param version newest version of the store at that moment
 */
public record RowPage(List<Row> rows, boolean more, long version) {
  /** Copies the list. */
  public RowPage {
    rows = List.copyOf(rows);
  }
}
