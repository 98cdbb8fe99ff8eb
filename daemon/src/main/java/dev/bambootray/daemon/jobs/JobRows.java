package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.jobs.store.Row;
import dev.bambootray.ports.RowStore;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the rows of single jobs for callers. */
final class JobRows {
  private final RowStore store;
  private final StoreFormats formats;
  private final DecisionLog log;

  JobRows(RowStore store, StoreFormats formats, DecisionLog log) {
    this.store = store;
    this.formats = formats;
    this.log = log;
  }

  /**
   * Outcome of reading a row.
   *
   * @param unreachable whether the store could not be read
   * @param table table that was read last
   * @param row the row, or empty if there is none
   */
  record Found(boolean unreachable, String table, Optional<Row> row) {}

  /** Reads the row of a job in both formats, so that none is missed while nodes change theirs. */
  CompletableFuture<Found> readJob(String job) {
    String other = formats.otherJobs();
    return read(formats.jobs(), job)
        .thenCompose(
            found ->
                found.unreachable() || found.row().isPresent()
                    ? completedFuture(found)
                    : read(other, job));
  }

  CompletableFuture<Found> read(String table, String key) {
    return store
        .read(table, key, JobTables.keyAfter(key), 1)
        .thenApply(
            result ->
                result.fold(
                    error -> {
                      log.line("front:", key, "store not readable " + error.message());
                      return new Found(true, table, Optional.empty());
                    },
                    page -> new Found(false, table, page.rows().stream().findFirst())));
  }
}
