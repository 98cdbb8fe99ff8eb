package dev.bambootray.jobs.store;

import java.util.List;

/** Changes of a table after a version. */
public sealed interface ChangePage {
  /**
   * Changed rows.
   *
   * @param rows the rows, removed ones marked; empty if nothing changed while waiting
   * @param version version to continue after
   */
  record Changes(List<Row> rows, long version) implements ChangePage {
    /** Copies the list. */
    public Changes {
      rows = List.copyOf(rows);
    }
  }

  /** The history after that version is gone; the table must be read anew. */
  record HistoryLost() implements ChangePage {}

  /**
   * The store did not answer.
   *
   * @param detail what went wrong
   */
  record Failed(String detail) implements ChangePage {}
}
