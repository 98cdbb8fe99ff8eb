package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.scheduling.EventTime;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.PlatformDocumentReader;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Follows the declaration that the operator publishes and notifies a listener of each new version.
 *
 * <p>A version that is not newer than the current one is ignored.
 */
final class DeclarationFollower implements TableFollower.Listener {
  private final PlatformDocumentReader documents;
  private final DecisionLog log;
  private final Consumer<JobDeclaration> listener;
  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final TableFollower follower;
  private final PauseDetector pauseDetector;
  private volatile @Nullable JobDeclaration newest;
  private volatile boolean reachable = true;

  /** Whether the declaration may have been replaced while the process was paused. */
  private volatile boolean possiblyStale;

  private final AtomicInteger pauseCount = new AtomicInteger();

  DeclarationFollower(
      RowStore store,
      ScheduledExecutorService executor,
      PlatformDocumentReader documents,
      DecisionLog log,
      Consumer<JobDeclaration> listener) {
    this.store = store;
    this.executor = executor;
    this.documents = documents;
    this.log = log;
    this.listener = listener;
    pauseDetector = new PauseDetector(JobNode.now());
    follower = new TableFollower(store, executor, documents.declarationTable(), this);
  }

  void start() {
    follower.start();
  }

  void stop() {
    follower.stop();
  }

  Optional<JobDeclaration> newest() {
    return Optional.ofNullable(newest);
  }

  /**
   * Returns the declaration that callers are authenticated against.
   *
   * <p>After a pause of the process it is empty until the table has been read again, because a key
   * may have been revoked during the pause.
   */
  Optional<JobDeclaration> inForce(EventTime now) {
    if (pauseDetector.pausedSinceLastCall(now)) {
      log.line("config:", "-", "read again after a pause of the process");
      possiblyStale = true;
      readAgain(pauseCount.incrementAndGet());
    }
    return possiblyStale ? Optional.empty() : newest();
  }

  /** Reads the declaration, with retries, until it succeeds or a later pause starts a new read. */
  private void readAgain(int pause) {
    String key = documents.declarationKey();
    var unused =
        store
            .read(documents.declarationTable(), key, JobTables.keyAfter(key), 1)
            .exceptionally(e -> Either.left(new StoreError(key, "unexpected error " + e, false)))
            .thenAcceptAsync(result -> onReadAgain(result, pause), executor);
  }

  private void onReadAgain(Either<StoreError, RowReadPage> result, int pause) {
    if (pause != pauseCount.get()) {
      return;
    }
    if (result.isLeft()) {
      var unused =
          executor.schedule(() -> readAgain(pause), TableFollower.RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    try {
      onChanges(result.get().rows());
    } catch (RuntimeException e) {
      onFault(e); // An unreadable row leaves the current declaration in force.
    }
    possiblyStale = false;
  }

  boolean isReachable() {
    return reachable;
  }

  @Override
  public void onContent(List<Row> rows) {
    onChanges(rows);
  }

  @Override
  public void onChanges(List<Row> rows) {
    for (Row row : rows) {
      if (row.key().equals(documents.declarationKey()) && !row.removed()) {
        documents.declaration(row).ifPresent(this::accept);
      }
    }
  }

  @Override
  public void onReachable(boolean value, String detail) {
    reachable = value;
    log.line("store:", documents.declarationTable(), value ? "regained" : "lost " + detail);
  }

  @Override
  public void onFault(RuntimeException fault) {
    log.failure("config:", documents.declarationTable(), "rows were not handled", fault);
  }

  private void accept(JobDeclaration declaration) {
    JobDeclaration current = newest;
    if (current != null && declaration.version() <= current.version()) {
      return;
    }
    newest = declaration;
    log.line(
        "config:",
        "-",
        "in force version="
            + declaration.version()
            + " templates="
            + declaration.templates().size()
            + " workspaces="
            + declaration.workspaces().size());
    listener.accept(declaration);
  }
}
