package dev.bambootray.ports;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes versioned rows of the platform's store. Futures complete on a traffic thread and
 * never exceptionally.
 */
public interface RowStore {

  /**
   * Applies all changes, or none if a condition does not hold. All rows must be in one partition.
   *
   * @param conditions versions that rows must have
   * @param changes rows to write or remove
   * @param timeoutMs time for the whole exchange, in milliseconds
   */
  CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs);

  /**
   * Reads rows in the order of their keys.
   *
   * @param table the table
   * @param from first key, or empty for the start
   * @param to key that ends the range and is not part of it, or empty for the end
   * @param limit maximum number of rows
   */
  CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit);

  /**
   * Returns whether the store answers this node but can serve no calls at present, unlike one that
   * cannot be reached.
   */
  default boolean isBusy() {
    return false;
  }

  /**
   * Waits for changes of a table.
   *
   * @param table the table
   * @param after only changes after this version are returned
   * @param waitMs longest wait in milliseconds
   */
  CompletableFuture<ChangePage> changes(String table, long after, long waitMs);
}
