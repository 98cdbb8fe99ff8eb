package dev.bambootray.jobs.store;

import java.util.List;

/** Result of reading the changes of a table after a version. */
public sealed interface ChangePage {
  /**
   * The changed rows.
   *
   * @param rows the rows, including removed ones; empty if nothing changed while waiting
   * @param version version after which to continue
   */
  record Changes(List<Row> rows, long version) implements ChangePage {
    /** Copies the list. */
    public Changes {
      rows = List.copyOf(rows);
    }
  }

  /** The history after that version is no longer available; the whole table must be read again. */
  record HistoryLost() implements ChangePage {}

  /**
   * The store did not answer.
   *
   * @param detail description of the error
   */
  record Failed(String detail) implements ChangePage {}
}
