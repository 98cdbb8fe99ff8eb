package dev.bambootray.jobs.store;

import java.util.List;
import java.util.Optional;

/** Outcome of a transaction on rows. */
public sealed interface CommitOutcome {
  /**
   * All changes were applied.
   *
   * @param version version of the changed rows
   */
  record Committed(long version) implements CommitOutcome {}

  /**
   * A condition did not hold, and nothing was applied.
   *
   * @param rows current rows of the conditions, without those that do not exist
   */
  record Conflict(List<Row> rows) implements CommitOutcome {
    /** Copies the list. */
    public Conflict {
      rows = List.copyOf(rows);
    }

    /** Returns the current row with a key, or empty if it does not exist. */
    public Optional<Row> row(String key) {
      return rows.stream().filter(row -> row.key().equals(key) && !row.removed()).findFirst();
    }
  }

  /**
   * The transaction was refused and nothing was applied.
   *
   * @param detail reason of the refusal
   */
  record Refused(String detail) implements CommitOutcome {}

  /**
   * The transaction may have been applied, or may be applied later if its conditions still hold.
   *
   * @param detail description of the error
   */
  record Unknown(String detail) implements CommitOutcome {}
}
