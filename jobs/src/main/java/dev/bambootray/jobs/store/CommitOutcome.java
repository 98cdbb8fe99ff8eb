package dev.bambootray.jobs.store;

import java.util.List;

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
   * @param rows the rows named by the conditions as they are; absent rows are left out
   */
  record Conflict(List<Row> rows) implements CommitOutcome {
    /** Copies the list. */
    public Conflict {
      rows = List.copyOf(rows);
    }
  }

  /**
   * Nothing was applied.
   *
   * @param detail why
   */
  record Refused(String detail) implements CommitOutcome {}

  /**
   * The transaction may have been applied, or may be applied later if its conditions still hold.
   *
   * @param detail what went wrong
   */
  record Unknown(String detail) implements CommitOutcome {}
}
