package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Follows a table: reads it in full, then waits for changes. When the store no longer has the
 * changes it needs, it reads the table in full again. It runs on the given event loop.
 *
 * <p>It makes one call at a time and goes on whatever becomes of it: a call that throws, fails or
 * gets no answer is followed by another one.
 */
final class TableFollower {
  /** Receives the content and the changes of a table. */
  interface Listener {
    /** Handles that a full read begins; a failed one begins again. */
    default void onReadStarted() {}

    /** Handles the full content of the table, which replaces all earlier content. */
    void onContent(List<Row> rows);

    /** Handles rows that were changed or removed. */
    void onChanges(List<Row> rows);

    /** Handles a change of whether the store answers. */
    void onReachable(boolean reachable, String detail);

    /**
     * Handles that all changes up to a time were delivered.
     *
     * @param asOfMs the time by {@link JobNode#now}
     */
    default void onConfirmed(long asOfMs) {}

    /** Handles an exception that this listener threw for some rows; the table is followed on. */
    void onFault(RuntimeException fault);
  }

  /**
   * Longest wait for changes. It bounds the time until a silent connection is noticed, and must be
   * short enough to apply a new declaration in time.
   */
  static final long WAIT_MS = 1_500;

  /** Delay before a failed read is retried. */
  static final long RETRY_MS = 250;

  /**
   * Time limit of a read, and of a wait beyond the time that it may take by design. It is longer
   * than the limits of the stores below, which tell why a call failed, and only ends calls that
   * these leave without an end.
   */
  static final long CALL_LIMIT_MS = 1_500;

  private static final int PAGE_ROWS = 500;

  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final String table;
  private final Listener listener;
  private final LongSupplier clockMs;
  private volatile boolean stopped;
  private boolean reachable = true;

  /** Number of the newest full read; answers to calls of earlier ones are ignored. */
  private int reading;

  private boolean readingInFull;

  TableFollower(
      RowStore store, ScheduledExecutorService executor, String table, Listener listener) {
    this(store, executor, table, listener, () -> JobNode.now().ms());
  }

  TableFollower(
      RowStore store,
      ScheduledExecutorService executor,
      String table,
      Listener listener,
      LongSupplier clockMs) {
    this.store = store;
    this.executor = executor;
    this.table = table;
    this.listener = listener;
    this.clockMs = clockMs;
  }

  void start() {
    executor.execute(this::readAgain);
  }

  /** Reads the table in full again; must be called on the event loop. */
  void readAgain() {
    reading++;
    readingInFull = true;
    runGuarded(listener::onReadStarted);
    readAll(new Progress(reading, clockMs.getAsLong()), "");
  }

  /** Returns whether a full read is under way; must be called on the event loop. */
  boolean isReadingInFull() {
    return readingInFull;
  }

  void stop() {
    stopped = true;
  }

  /** Collects the pages of one full read. */
  private static final class Progress {
    private final int reading;
    private final long startMs;
    private final List<Row> rows = new ArrayList<>();

    /** Version of the first page; following from it misses no change made during the read. */
    private long version = -1;

    private Progress(int reading, long startMs) {
      this.reading = reading;
      this.startMs = startMs;
    }
  }

  private void readAll(Progress progress, String from) {
    if (isOutdated(progress.reading)) {
      return;
    }
    call(
        () -> store.read(table, from, "", PAGE_ROWS),
        CALL_LIMIT_MS,
        detail -> Either.left(new StoreError(table, detail, false)),
        result -> onRead(progress, from, result));
  }

  private void onRead(Progress progress, String from, Either<StoreError, RowReadPage> result) {
    if (isOutdated(progress.reading)) {
      return;
    }
    if (result.isLeft()) {
      markUnreachable(result.getLeft().message());
      scheduleRetry(() -> retryRead(progress, from));
      return;
    }
    RowReadPage page = result.get();
    progress.rows.addAll(page.rows());
    progress.version = progress.version < 0 ? page.version() : progress.version;
    if (page.more() && !page.rows().isEmpty()) {
      readAll(progress, JobTables.keyAfter(page.rows().get(page.rows().size() - 1).key()));
      return;
    }
    readingInFull = false;
    markReachable();
    runGuarded(() -> listener.onContent(progress.rows));
    runGuarded(() -> listener.onConfirmed(progress.startMs));
    follow(progress.reading, progress.version, WAIT_MS);
  }

  /**
   * Reads a page again that failed. The pages before it are kept: changes since then follow, as
   * those during the read do.
   */
  private void retryRead(Progress progress, String from) {
    if (isOutdated(progress.reading)) {
      return;
    }
    if (from.isEmpty()) {
      readAgain();
    } else {
      readAll(progress, from);
    }
  }

  private void follow(int from, long version, long waitMs) {
    if (isOutdated(from)) {
      return;
    }
    long sentMs = clockMs.getAsLong();
    call(
        () -> store.changes(table, version, waitMs),
        waitMs + CALL_LIMIT_MS,
        ChangePage.Failed::new,
        page -> onChanges(page, from, version, sentMs, waitMs));
  }

  /** Makes a call and handles its result, or its failure if there is none in time, once. */
  private <T> void call(
      Supplier<CompletableFuture<T>> call,
      long limitMs,
      Function<String, T> failure,
      Consumer<T> onResult) {
    CompletableFuture<T> first = new CompletableFuture<>();
    Runnable giveUp = () -> first.complete(failure.apply("no result within " + limitMs + " ms"));
    ScheduledFuture<?> limit = executor.schedule(giveUp, limitMs, TimeUnit.MILLISECONDS);
    var unused =
        first.thenAcceptAsync(
            result -> {
              limit.cancel(false);
              onResult.accept(result);
            },
            executor);
    try {
      var unusedCall =
          call.get()
              .exceptionally(error -> failure.apply("unexpected error " + error))
              .thenAccept(first::complete);
    } catch (RuntimeException e) {
      first.complete(failure.apply("unexpected error " + e));
    }
  }

  private void onChanges(ChangePage page, int from, long version, long sentMs, long waitMs) {
    if (isOutdated(from)) {
      return;
    }
    if (page instanceof ChangePage.Changes changes) {
      markReachable();
      // One by one, so that an exception for one row does not prevent handling the others.
      changes.rows().forEach(row -> runGuarded(() -> listener.onChanges(List.of(row))));
      runGuarded(() -> listener.onConfirmed(confirmedMs(changes, sentMs, waitMs)));
      follow(from, Math.max(version, changes.version()), WAIT_MS);
    } else if (page instanceof ChangePage.HistoryLost) {
      readAgain();
    } else if (page instanceof ChangePage.Failed failed) {
      markUnreachable(failed.detail());
      // Without a wait, so that a recovered store is noticed at once.
      scheduleRetry(() -> follow(from, version, 0));
    }
  }

  /** Returns the time as of which an answer to a wait contains all changes. */
  private long confirmedMs(ChangePage.Changes changes, long sentMs, long waitMs) {
    // The store answers without rows only after the whole wait.
    long waitedMs = clockMs.getAsLong() - sentMs;
    return changes.rows().isEmpty() && waitedMs >= waitMs ? sentMs + waitMs : sentMs;
  }

  private boolean isOutdated(int from) {
    return stopped || from != reading;
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
      runGuarded(() -> listener.onReachable(true, ""));
    }
  }

  private void markUnreachable(String detail) {
    if (reachable) {
      reachable = false;
      runGuarded(() -> listener.onReachable(false, detail));
    }
  }
}
