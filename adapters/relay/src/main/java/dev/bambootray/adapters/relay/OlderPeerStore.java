package dev.bambootray.adapters.relay;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.OlderTables;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the store through a node of an older format, which chooses the partition of a row itself.
 *
 * <p>A call that it would make for other rows than this node means is refused here.
 */
final class OlderPeerStore implements RowStore {
  private final RowStore peer;
  private final OlderTables tables;
  private final int format;

  OlderPeerStore(RowStore peer, OlderTables tables, int format) {
    this.peer = peer;
    this.tables = tables;
    this.format = format;
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    List<RowCondition> translatedConditions = new ArrayList<>();
    for (RowCondition condition : conditions) {
      Optional<String> table = tables.tableAt(format, condition.table(), false);
      if (table.isEmpty()) {
        return completedFuture(new CommitOutcome.Refused(reason(condition.table())));
      }
      translatedConditions.add(new RowCondition(table.get(), condition.key(), condition.version()));
    }
    List<RowChange> translatedChanges = new ArrayList<>();
    for (RowChange change : changes) {
      Optional<String> table = tables.tableAt(format, change.table(), false);
      if (table.isEmpty()) {
        return completedFuture(new CommitOutcome.Refused(reason(change.table())));
      }
      translatedChanges.add(new RowChange(table.get(), change.key(), change.value()));
    }
    return peer.commit(translatedConditions, translatedChanges, timeoutMs);
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    // The end of a range of one key begins with that key.
    boolean range = from.isEmpty() || !to.startsWith(from);
    return tables
        .tableAt(format, table, range)
        .map(
            name ->
                peer.read(name, from, to, limit)
                    .thenApply(result -> result.map(page -> renamed(page, table))))
        .orElseGet(() -> completedFuture(Either.left(new StoreError(table, reason(table), false))));
  }

  private static RowReadPage renamed(RowReadPage page, String table) {
    List<Row> rows = page.rows().stream().map(row -> renamed(row, table)).toList();
    return new RowReadPage(rows, page.more(), page.version());
  }

  private static Row renamed(Row row, String table) {
    return new Row(table, row.key(), row.value(), row.version(), row.removed());
  }

  /** The changes of a table include all its partitions, so any node can wait for them. */
  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    return peer.changes(table, after, waitMs).thenApply(this::renamed);
  }

  private ChangePage renamed(ChangePage page) {
    return page instanceof ChangePage.Changes changes
        ? new ChangePage.Changes(
            changes.rows().stream()
                .map(row -> renamed(row, tables.tableOfChange(row.table())))
                .toList(),
            changes.version())
        : page;
  }

  private String reason(String table) {
    return "a node of format " + format + " cannot reach the rows of " + table;
  }
}
