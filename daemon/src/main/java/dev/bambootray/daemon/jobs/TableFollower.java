package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Follows a table: reads it whole, then waits for changes. When the history is gone it reads the
 * table anew. Runs on the event loop that it is given.
 */
final class TableFollower {
  /** Learns the content of a table. */
  interface Listener {
    /** The whole table, which replaces what was known. */
    void onContent(List<Row> rows);

    /** Rows that changed or were removed. */
    void onChanges(List<Row> rows);

    /** Whether the store answers. */
    void onReachable(boolean reachable, String detail);

    /** Rows were not handled because of an error; the following goes on. */
    void onFault(RuntimeException fault);
  }

  /**
   * Longest wait for changes. It bounds how long a connection that has gone silent goes unnoticed,
   * and must leave time to apply a configuration within its bound.
   */
  private static final long WAIT_MS = 1_500;

  /** Pause before a failed read is repeated. */
  static final long RETRY_MS = 250;

  private static final int PAGE_ROWS = 500;

  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final String table;
  private final Listener listener;
  private volatile boolean stopped;
  private boolean reachable = true;

  TableFollower(
      RowStore store, ScheduledExecutorService executor, String table, Listener listener) {
    this.store = store;
    this.executor = executor;
    this.table = table;
    this.listener = listener;
  }

  void start() {
    executor.execute(() -> readAll("", new ArrayList<>(), -1));
  }

  void stop() {
    stopped = true;
  }

  private void readAll(String from, List<Row> rows, long version) {
    if (stopped) {
      return;
    }
    var unused =
        store
            .read(table, from, "", PAGE_ROWS)
            .exceptionally(e -> Either.left(new StoreError(table, "unexpected error " + e, false)))
            .thenAcceptAsync(
                result -> {
                  if (result.isLeft()) {
                    unreachable(result.getLeft().message());
                    later(() -> readAll("", new ArrayList<>(), -1));
                    return;
                  }
                  onPage(result.get(), rows, version);
                },
                executor);
  }

  private void onPage(RowPage page, List<Row> rows, long version) {
    rows.addAll(page.rows());
    // Changes after the first page are read again from its version on.
    long first = version < 0 ? page.version() : version;
    if (page.more() && !page.rows().isEmpty()) {
      readAll(JobTables.after(page.rows().get(page.rows().size() - 1).key()), rows, first);
      return;
    }
    reached();
    if (!stopped) {
      guarded(() -> listener.onContent(rows));
      follow(first, WAIT_MS);
    }
  }

  private void follow(long version, long waitMs) {
    if (stopped) {
      return;
    }
    var unused =
        store
            .changes(table, version, waitMs)
            .exceptionally(e -> new ChangePage.Failed("unexpected error " + e))
            .thenAcceptAsync(page -> onChanges(page, version), executor);
  }

  private void onChanges(ChangePage page, long version) {
    if (stopped) {
      return;
    }
    if (page instanceof ChangePage.Changes changes) {
      reached();
      if (!changes.rows().isEmpty()) {
        // One by one, so that an error with one row does not keep the others away.
        changes.rows().forEach(row -> guarded(() -> listener.onChanges(List.of(row))));
      }
      follow(Math.max(version, changes.version()), WAIT_MS);
    } else if (page instanceof ChangePage.HistoryLost) {
      readAll("", new ArrayList<>(), -1);
    } else if (page instanceof ChangePage.Failed failed) {
      unreachable(failed.detail());
      // Without a wait, so that the return of the store is known at once.
      later(() -> follow(version, 0));
    }
  }

  /** Runs a listener; an error of it must not end the following of the table. */
  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      listener.onFault(e);
    }
  }

  private void later(Runnable action) {
    var unused = executor.schedule(action, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void reached() {
    if (!reachable) {
      reachable = true;
      listener.onReachable(true, "");
    }
  }

  private void unreachable(String detail) {
    if (reachable) {
      reachable = false;
      listener.onReachable(false, detail);
    }
  }
}
