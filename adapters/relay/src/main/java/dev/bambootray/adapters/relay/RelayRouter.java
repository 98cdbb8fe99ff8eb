package dev.bambootray.adapters.relay;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.adapters.http.RequestRouter;
import dev.bambootray.adapters.relay.RelayProtocol.ChangesCall;
import dev.bambootray.adapters.relay.RelayProtocol.CommitCall;
import dev.bambootray.adapters.relay.RelayProtocol.ReadCall;
import dev.bambootray.adapters.relay.RelayProtocol.Reply;
import dev.bambootray.adapters.relay.RelayProtocol.Result;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.JobHintSender.Hint;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Serves other nodes: makes their store calls on this node's own connections and receives their
 * hints. It never forwards a call to a third node.
 */
public final class RelayRouter implements RequestRouter {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final String JSON = "application/json";

  private final RowStore direct;
  private final RowStore older;
  private final Consumer<Hint> hints;

  /**
   * Creates a router.
   *
   * @param direct the store as this node itself reaches it
   * @param older the store for calls of builds before format 3
   * @param hints receives hints
   */
  public RelayRouter(RowStore direct, RowStore older, Consumer<Hint> hints) {
    this.direct = direct;
    this.older = older;
    this.hints = hints;
  }

  @Override
  public PendingResponse route(ApiRequest request) {
    return switch (request.rawPath()) {
      case RelayProtocol.COMMIT_PATH ->
          answer(request, CommitCall.class, call -> commit(direct, call));
      case RelayProtocol.OLDER_COMMIT_PATH ->
          answer(request, CommitCall.class, call -> commit(older, call));
      case RelayProtocol.READ_PATH -> answer(request, ReadCall.class, call -> read(direct, call));
      case RelayProtocol.OLDER_READ_PATH ->
          answer(request, ReadCall.class, call -> read(older, call));
      case RelayProtocol.CHANGES_PATH -> answer(request, ChangesCall.class, this::changes);
      case RelayProtocol.HINT_PATH -> answer(request, Hint.class, this::hint);
      default -> PendingResponse.now(ApiResponse.text(NOT_FOUND, "text/plain", "no such call"));
    };
  }

  private static <T> PendingResponse answer(
      ApiRequest request, Class<T> type, Function<T, CompletableFuture<Reply>> action) {
    Either<String, T> call = RelayProtocol.read(request.body().getBytes(UTF_8), type);
    if (call.isLeft()) {
      return PendingResponse.now(ApiResponse.text(BAD_REQUEST, "text/plain", call.getLeft()));
    }
    return PendingResponse.of(
        action.apply(call.get()),
        reply -> ApiResponse.text(200, JSON, new String(RelayProtocol.write(reply), UTF_8)));
  }

  private static CompletableFuture<Reply> commit(RowStore store, CommitCall call) {
    return store
        .commit(call.conditions(), call.changes(), call.timeoutMs())
        .thenApply(RelayRouter::reply);
  }

  private static CompletableFuture<Reply> read(RowStore store, ReadCall call) {
    return store
        .read(call.table(), call.from(), call.to(), call.limit())
        .thenApply(
            result ->
                result.fold(
                    error -> Reply.failed(Result.FAILED, error.message()), RelayRouter::reply));
  }

  private CompletableFuture<Reply> changes(ChangesCall call) {
    return direct.changes(call.table(), call.after(), call.waitMs()).thenApply(RelayRouter::reply);
  }

  private CompletableFuture<Reply> hint(Hint hint) {
    hints.accept(hint);
    return CompletableFuture.completedFuture(Reply.of(Result.NOTED, 0));
  }

  private static Reply reply(CommitOutcome outcome) {
    if (outcome instanceof CommitOutcome.Committed committed) {
      return Reply.of(Result.COMMITTED, committed.version());
    }
    if (outcome instanceof CommitOutcome.Conflict conflict) {
      return new Reply(Result.CONFLICT, conflict.rows(), false, 0, "");
    }
    return outcome instanceof CommitOutcome.Refused refused
        ? Reply.failed(Result.REFUSED, refused.detail())
        : Reply.failed(Result.UNKNOWN, outcome.toString());
  }

  private static Reply reply(RowReadPage page) {
    return new Reply(Result.PAGE, page.rows(), page.more(), page.version(), "");
  }

  private static Reply reply(ChangePage page) {
    if (page instanceof ChangePage.Changes changes) {
      return new Reply(Result.CHANGES, changes.rows(), false, changes.version(), "");
    }
    return page instanceof ChangePage.Failed failed
        ? Reply.failed(Result.FAILED, failed.detail())
        : Reply.of(Result.HISTORY_LOST, 0);
  }
}
