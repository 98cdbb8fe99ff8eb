package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A store in virtual time whose calls fail as a test says. Each page has one row. */
final class FaultyStore implements RowStore {
  /** What becomes of a call. */
  enum Fault {
    NONE,
    /** It never ends. */
    DROPPED,
    /** It is answered after its caller has given it up. */
    FAR_TOO_LATE,
    /** It throws instead of returning a future. */
    THROWS,
    /** Its future ends with an exception. */
    BREAKS,
    /** Its connection is closed by the store half a second after it was sent. */
    CLOSED,
    /** It fails at once. */
    REFUSED
  }

  static final String CLOSED_DETAIL = "the peer closed the connection";

  private static final long FAR_TOO_LATE_MS = 7_000;
  private static final long CLOSED_AFTER_MS = 500;
  private static final long VERSION = 5;
  private static final String KEY = "current";

  private final VirtualExecutor executor;

  /** What becomes of reads and waits. */
  Fault reads = Fault.NONE;

  Fault waits = Fault.NONE;

  /** Number of pages of the table. */
  int pages = 1;

  /** Number of reads of which the last one is refused. */
  int refusedReadInterval = Integer.MAX_VALUE;

  /** Time until an answer, which for a wait comes after the wait. */
  long readMs = 1;

  long lateMs = 1;

  /** Times of all reads and waits. */
  final List<Long> readTimesMs = new ArrayList<>();

  final List<Long> waitTimesMs = new ArrayList<>();

  FaultyStore(VirtualExecutor executor) {
    this.executor = executor;
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    readTimesMs.add(executor.nowMs());
    int page = pageFrom(from);
    Row row = new Row(table, page == 0 ? KEY : KEY + page, new byte[] {'7'}, VERSION, false);
    return play(
        readTimesMs.size() % refusedReadInterval == 0 ? Fault.REFUSED : reads,
        readMs,
        Either.right(new RowReadPage(List.of(row), page < pages - 1, VERSION)),
        Either.left(new StoreError(table, CLOSED_DETAIL, false)));
  }

  /** Returns the page that begins after a key: "current" is on page 0, "current1" on page 1. */
  private static int pageFrom(String from) {
    if (from.isEmpty()) {
      return 0;
    }
    char number = from.charAt(KEY.length());
    return Character.isDigit(number) ? number - '0' + 1 : 1;
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    waitTimesMs.add(executor.nowMs());
    return play(
        waits,
        waitMs + lateMs,
        new ChangePage.Changes(List.of(), VERSION),
        new ChangePage.Failed(CLOSED_DETAIL));
  }

  private <T> CompletableFuture<T> play(Fault fault, long answerMs, T answer, T failure) {
    CompletableFuture<T> future = new CompletableFuture<>();
    switch (fault) {
      case NONE -> later(() -> future.complete(answer), answerMs);
      case DROPPED -> {}
      case FAR_TOO_LATE -> later(() -> future.complete(answer), answerMs + FAR_TOO_LATE_MS);
      case THROWS -> throw new IllegalStateException("thrown by the store");
      case BREAKS -> future.completeExceptionally(new IllegalStateException("broken"));
      case CLOSED -> later(() -> future.complete(failure), CLOSED_AFTER_MS);
      case REFUSED -> future.complete(failure);
    }
    return future;
  }

  private void later(Runnable action, long delayMs) {
    var unused = executor.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    throw new IllegalStateException("a follower writes nothing");
  }
}
