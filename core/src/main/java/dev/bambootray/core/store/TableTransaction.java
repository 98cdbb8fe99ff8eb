package dev.bambootray.core.store;

import java.util.List;

/**
 * Writes that take effect together or not at all.
 *
 * @param writeToken unique name of the transaction; sending it again has no further effect, and the
 *     table reports for it whether the transaction took effect
 * @param writes the writes, at most one for each row
 */
public record TableTransaction(String writeToken, List<RowWrite> writes) {

  /** Copies the writes. */
  public TableTransaction {
    writes = List.copyOf(writes);
  }
}
