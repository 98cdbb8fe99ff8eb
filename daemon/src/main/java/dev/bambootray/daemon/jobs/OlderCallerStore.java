package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Makes store calls for nodes of older builds, which leave it to the relaying node where the rows
 * are.
 *
 * <p>New rows go where this node stores its own; jobs are read in both formats.
 */
public final class OlderCallerStore implements RowStore {
  private final RowStore direct;
  private final StoreFormats formats;

  /**
   * Creates a store.
   *
   * @param direct the store as this node itself reaches it
   * @param formats format of new rows
   */
  public OlderCallerStore(RowStore direct, StoreFormats formats) {
    this.direct = direct;
    this.formats = formats;
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    if (!formats.isReady()) {
      return completedFuture(new CommitOutcome.Refused("the format of the store is not known"));
    }
    boolean ofStoredJob =
        conditions.stream()
            .anyMatch(each -> each.table().equals(JobTables.JOBS) && each.version() > 0);
    return commitIn(formats.jobs(), conditions, changes, timeoutMs)
        .thenCompose(
            outcome ->
                ofStoredJob
                        && outcome instanceof CommitOutcome.Conflict conflict
                        && conflict.rows().isEmpty()
                    ? commitIn(formats.otherJobs(), conditions, changes, timeoutMs)
                    : completedFuture(outcome));
  }

  private CompletableFuture<CommitOutcome> commitIn(
      String jobs, List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    return direct.commit(
        conditions.stream()
            .map(each -> new RowCondition(table(jobs, each.table()), each.key(), each.version()))
            .toList(),
        changes.stream()
            .map(each -> new RowChange(table(jobs, each.table()), each.key(), each.value()))
            .toList(),
        timeoutMs);
  }

  private String table(String jobs, String table) {
    return switch (table) {
      case JobTables.JOBS -> jobs;
      case JobTables.NODES -> formats.nodes();
      default -> table;
    };
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    boolean ofOneJob =
        table.equals(JobTables.JOBS)
            && !from.isEmpty()
            && JobTables.jobOfKey(from).equals(JobTables.jobOfKey(to));
    if (!ofOneJob) {
      return direct.read(table, from, to, limit);
    }
    return direct
        .read(JobTables.JOBS_FORMAT_1, from, to, limit)
        .thenCombine(
            direct.read(JobTables.JOBS, from, to, limit),
            (first, second) -> first.flatMap(page -> second.map(other -> joined(page, other))));
  }

  /** Joins the rows of one job; a mark in either format counts. */
  private static RowReadPage joined(RowReadPage first, RowReadPage second) {
    List<String> keys = first.rows().stream().map(Row::key).toList();
    List<Row> rows =
        Stream.concat(
                first.rows().stream(),
                second.rows().stream().filter(row -> !keys.contains(row.key())))
            .toList();
    return new RowReadPage(rows, false, Math.min(first.version(), second.version()));
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    return direct.changes(table, after, waitMs);
  }
}
