package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Follows a table: reads it in full, then waits for changes. When the store no longer has the
 * changes it needs, it reads the table in full again. It runs on the given event loop.
 */
final class TableFollower {
  /** Receives the content and the changes of a table. */
  interface Listener {
    /** Handles the full content of the table, which replaces all earlier content. */
    void onContent(List<Row> rows);

    /** Handles rows that were changed or removed. */
    void onChanges(List<Row> rows);

    /** Handles a change of whether the store answers. */
    void onReachable(boolean reachable, String detail);

    /** Handles an exception that this listener threw for some rows; the table is followed on. */
    void onFault(RuntimeException fault);
  }

  /**
   * Longest wait for changes. It bounds the time until a silent connection is noticed, and must be
   * short enough to apply a new declaration in time.
   */
  private static final long WAIT_MS = 1_500;

  /** Delay before a failed read is retried. */
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
                    markUnreachable(result.getLeft().message());
                    scheduleRetry(() -> readAll("", new ArrayList<>(), -1));
                    return;
                  }
                  onPage(result.get(), rows, version);
                },
                executor);
  }

  private void onPage(RowReadPage page, List<Row> rows, long version) {
    rows.addAll(page.rows());
    // Following starts at the version of the first page, so changes during paging are not missed.
    long first = version < 0 ? page.version() : version;
    if (page.more() && !page.rows().isEmpty()) {
      readAll(JobTables.keyAfter(page.rows().get(page.rows().size() - 1).key()), rows, first);
      return;
    }
    markReachable();
    if (!stopped) {
      runGuarded(() -> listener.onContent(rows));
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
      markReachable();
      if (!changes.rows().isEmpty()) {
        // One by one, so that an exception for one row does not prevent handling the others.
        changes.rows().forEach(row -> runGuarded(() -> listener.onChanges(List.of(row))));
      }
      follow(Math.max(version, changes.version()), WAIT_MS);
    } else if (page instanceof ChangePage.HistoryLost) {
      readAll("", new ArrayList<>(), -1);
    } else if (page instanceof ChangePage.Failed failed) {
      markUnreachable(failed.detail());
      // Without a wait, so that a recovered store is noticed at once.
      scheduleRetry(() -> follow(version, 0));
    }
  }

  /** Calls the listener; an exception that it throws must not end the following of the table. */
  private void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      listener.onFault(e);
    }
  }

  private void scheduleRetry(Runnable action) {
    var unused = executor.schedule(action, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void markReachable() {
    if (!reachable) {
      reachable = true;
      listener.onReachable(true, "");
    }
  }

  private void markUnreachable(String detail) {
    if (reachable) {
      reachable = false;
      listener.onReachable(false, detail);
    }
  }
}
