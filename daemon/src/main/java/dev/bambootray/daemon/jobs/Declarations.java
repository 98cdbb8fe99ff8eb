package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.ports.PlatformDocuments;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Follows the operator's configuration. The version in force never goes back. */
final class Declarations implements TableFollower.Listener {
  private final PlatformDocuments documents;
  private final DecisionLog log;
  private final Consumer<JobDeclaration> listener;
  private final TableFollower follower;
  private volatile @Nullable JobDeclaration newest;
  private volatile boolean reachable = true;

  Declarations(
      RowStore store,
      ScheduledExecutorService executor,
      PlatformDocuments documents,
      DecisionLog log,
      Consumer<JobDeclaration> listener) {
    this.documents = documents;
    this.log = log;
    this.listener = listener;
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
