package dev.bambootray.daemon;

import dev.bambootray.core.configuration.CurrentVersion;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.node.RowCodec;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.ports.TableStore;
import dev.bambootray.ports.api.DeclarationText;
import dev.bambootray.ports.api.ListQuery;
import dev.bambootray.ports.api.RequestPage;
import dev.bambootray.ports.api.RequestView;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Answers queries that need no control state from the table: listings of requests and published
 * declarations. A listing is complete for rows that do not change during it, since keys are stable.
 */
final class TableQueries {
  private static final String CURRENT = "config/current";
  private static final String HISTORY = "config/history/";
  private static final int PAGE_ROWS = 500;
  private static final int MAX_PAGES = 20;

  private final TableStore table;
  private final RowCodec codec;

  TableQueries(TableStore table, RowCodec codec) {
    this.table = table;
    this.codec = codec;
  }

  CompletableFuture<Either<RequestError, RequestPage>> list(ListQuery query) {
    String prefix = RequestRowMapper.workspacePrefix(query.workspace());
    String after = query.afterKey() == null ? null : prefix + query.afterKey();
    return collect(query, prefix, after, new ArrayList<>(), MAX_PAGES);
  }

  CompletableFuture<Either<RequestError, DeclarationText>> currentDeclaration() {
    return table
        .get(CURRENT)
        .thenCompose(
            outcome -> {
              Either<RequestError, CurrentVersion> current =
                  outcome.mapLeft(TableQueries::errorOf).flatMap(this::currentOf);
              if (current.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(current.getLeft()));
              }
              long version = current.get().version();
              return version == 0
                  ? CompletableFuture.completedFuture(
                      Either.right(NodeService.textOf(PublishedDeclaration.NONE)))
                  : declaration(version);
            });
  }

  CompletableFuture<Either<RequestError, DeclarationText>> declaration(long version) {
    return read(HISTORY + version)
        .thenApply(
            found ->
                found.filterOrElse(
                    text -> text.version() > 0,
                    text ->
                        RequestError.impossible(
                            RequestStep.CONFIGURATION, "table", "there is no version " + version)));
  }

  /** Returns the newest versions, without their texts. */
  CompletableFuture<Either<RequestError, List<DeclarationText>>> history(int limit) {
    return currentDeclaration()
        .thenCompose(
            current ->
                current.isLeft()
                    ? CompletableFuture.completedFuture(Either.left(current.getLeft()))
                    : history(current.get().version(), limit, new ArrayList<>()));
  }

  private CompletableFuture<Either<RequestError, List<DeclarationText>>> history(
      long version, int limit, List<DeclarationText> found) {
    if (version <= 0 || found.size() >= limit) {
      return CompletableFuture.completedFuture(Either.right(found));
    }
    return declaration(version)
        .thenCompose(
            outcome -> {
              if (outcome.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(outcome.getLeft()));
              }
              DeclarationText text = outcome.get();
              found.add(
                  new DeclarationText(text.version(), "", text.publishedAtMs(), text.author()));
              return history(version - 1, limit, found);
            });
  }

  private CompletableFuture<Either<RequestError, RequestPage>> collect(
      ListQuery query,
      String prefix,
      @Nullable String after,
      List<RequestView> found,
      int pagesLeft) {
    return table
        .scan(prefix, after, PAGE_ROWS)
        .thenCompose(
            outcome -> {
              if (outcome.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(errorOf(outcome.getLeft())));
              }
              RowPage page = outcome.get();
              String last = addMatches(query, page, found);
              String next = last != null ? last : page.nextAfterKey();
              if (next == null || last != null || pagesLeft <= 1) {
                String nextKey = next == null ? null : next.substring(prefix.length());
                return CompletableFuture.completedFuture(
                    Either.right(new RequestPage(found, nextKey)));
              }
              return collect(query, prefix, next, found, pagesLeft - 1);
            });
  }

  /** Adds the matching rows; returns the key of the last one taken if the page is full, or null. */
  private @Nullable String addMatches(ListQuery query, RowPage page, List<RequestView> found) {
    for (StoredRow row : page.rows()) {
      codec
          .decode(row.value())
          .map(content -> NodeService.viewOf(content, true))
          .filter(view -> matches(query, view))
          .forEach(either -> either.forEach(found::add));
      if (found.size() >= query.limit()) {
        return row.key();
      }
    }
    return null;
  }

  private static boolean matches(ListQuery query, RequestView view) {
    return (query.state() == null || query.state() == view.state())
        && (query.template() == null || query.template().equals(view.template()));
  }

  private CompletableFuture<Either<RequestError, DeclarationText>> read(String key) {
    return table
        .get(key)
        .thenApply(
            outcome ->
                outcome
                    .mapLeft(TableQueries::errorOf)
                    .flatMap(this::declarationOf)
                    .map(NodeService::textOf));
  }

  private Either<RequestError, CurrentVersion> currentOf(StoredRow row) {
    return row.version() == 0
        ? Either.right(CurrentVersion.NONE)
        : codec
            .decodeCurrent(row.value())
            .mapLeft(
                message -> RequestError.impossible(RequestStep.CONFIGURATION, "table", message));
  }

  private Either<RequestError, PublishedDeclaration> declarationOf(StoredRow row) {
    return row.version() == 0
        ? Either.right(PublishedDeclaration.NONE)
        : codec
            .decodeDeclaration(row.value())
            .mapLeft(
                message -> RequestError.impossible(RequestStep.CONFIGURATION, "table", message));
  }

  private static RequestError errorOf(StoreError error) {
    return new RequestError(
        RequestStep.RECORD, error.peer(), error.message(), ExecutionStatus.UNKNOWN, true, 1_000L);
  }
}
