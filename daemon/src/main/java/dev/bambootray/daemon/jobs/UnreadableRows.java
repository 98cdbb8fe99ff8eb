package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Knows the rows of jobs that this build cannot read, and reads them again until they are removed
 * or readable. Used on the event loop only.
 */
final class UnreadableRows {
  private static final long READ_AGAIN_MS = 10_000;

  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final JobRowCodec codec;
  private final DecisionLog log;
  private final StoreFormats formats;
  private final Map<String, Row> rows = new LinkedHashMap<>();

  UnreadableRows(
      RowStore store,
      ScheduledExecutorService executor,
      JobRowCodec codec,
      DecisionLog log,
      StoreFormats formats) {
    this.store = store;
    this.executor = executor;
    this.codec = codec;
    this.log = log;
    this.formats = formats;
  }

  /** Records a row that cannot be read and names it in the log the first time. */
  void add(Row row, String error) {
    if (rows.put(place(row), row) != null) {
      return;
    }
    log.line("store:", row.key(), error);
    formats.setUnreadableRows(true);
    if (rows.size() == 1) {
      readAgainLater();
    }
  }

  private void readAgainLater() {
    var unused = executor.schedule(this::readAgain, READ_AGAIN_MS, TimeUnit.MILLISECONDS);
  }

  private void readAgain() {
    for (Row row : List.copyOf(rows.values())) {
      var unused =
          store
              .read(row.table(), row.key(), JobTables.keyAfter(row.key()), 1)
              .thenAcceptAsync(result -> result.peek(page -> onPage(row, page)), executor);
    }
    if (!rows.isEmpty()) {
      readAgainLater();
    }
  }

  private void onPage(Row row, RowReadPage page) {
    if (page.rows().stream().allMatch(this::isReadable)) {
      rows.remove(place(row));
      formats.setUnreadableRows(!rows.isEmpty());
    }
  }

  private boolean isReadable(Row row) {
    return row.table().equals(JobTables.RECORDS)
        ? codec.decodeRecord(row.value()).isRight()
        : codec.decodeJob(row.value()).isRight();
  }

  private static String place(Row row) {
    return row.table() + "/" + row.key();
  }
}
