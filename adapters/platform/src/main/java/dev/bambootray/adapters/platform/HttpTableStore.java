package dev.bambootray.adapters.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import dev.bambootray.ports.TableStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * The platform's table over HTTP. When the answer to a commit is lost, the write token is read back
 * once on a fresh connection; the error says {@code maybeApplied} only if that does not tell the
 * outcome either.
 */
final class HttpTableStore implements TableStore {
  private static final String PEER = "table";

  private final PlatformCalls calls;

  HttpTableStore(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<StoreError, CommitResult>> commit(TableTransaction transaction) {
    Request request = Request.post("/table/commit", transactionJson(transaction));
    return calls
        .send(request)
        .thenCompose(
            outcome -> {
              Either<StoreError, CommitResult> result = readCommit(outcome);
              return result.isLeft() && result.getLeft().maybeApplied()
                  ? readBack(transaction.writeToken(), result)
                  : CompletableFuture.completedFuture(result);
            });
  }

  @Override
  public CompletableFuture<Either<StoreError, StoredRow>> get(String key) {
    return calls
        .send(Request.get("/table/row?key=" + PlatformCalls.encode(key)))
        .thenApply(outcome -> calls.read(PEER, outcome, false, HttpTableStore::row));
  }

  @Override
  public CompletableFuture<Either<StoreError, RowPage>> scan(
      String prefix, @Nullable String afterKey, int limit) {
    String path =
        "/table/scan?prefix="
            + PlatformCalls.encode(prefix)
            + "&limit="
            + limit
            + (afterKey == null ? "" : "&after=" + PlatformCalls.encode(afterKey));
    return calls
        .send(Request.get(path))
        .thenApply(outcome -> calls.read(PEER, outcome, false, HttpTableStore::page));
  }

  private CompletableFuture<Either<StoreError, CommitResult>> readBack(
      String token, Either<StoreError, CommitResult> unknown) {
    Request request =
        Request.get("/table/token?token=" + PlatformCalls.encode(token)).onFreshConnection();
    return calls
        .send(request)
        .thenApply(
            outcome -> {
              Either<StoreError, @Nullable CommitResult> told =
                  calls.read(PEER, outcome, true, HttpTableStore::tokenOutcome);
              CommitResult result = told.isRight() ? told.get() : null;
              return result == null ? unknown : Either.right(result);
            });
  }

  private Either<StoreError, CommitResult> readCommit(Outcome outcome) {
    if (outcome instanceof Answered answered && answered.status() == 409) {
      Outcome conflict = new Answered(200, answered.body(), answered.connection());
      return calls.read(PEER, conflict, true, HttpTableStore::conflict);
    }
    return calls.read(PEER, outcome, true, HttpTableStore::committed);
  }

  private static @Nullable CommitResult tokenOutcome(JsonNode json) {
    return switch (json.required("outcome").asText()) {
      case "committed" -> committed(json);
      case "conflict" -> conflict(json);
      default -> null;
    };
  }

  private static CommitResult committed(JsonNode json) {
    List<Long> versions = new ArrayList<>();
    json.required("versions").forEach(version -> versions.add(version.asLong()));
    return new CommitResult.Committed(versions);
  }

  private static CommitResult conflict(JsonNode json) {
    return new CommitResult.Conflict(rows(json.required("current")));
  }

  private static RowPage page(JsonNode json) {
    JsonNode next = json.path("nextAfter");
    return new RowPage(rows(json.required("rows")), next.isTextual() ? next.asText() : null);
  }

  private static List<StoredRow> rows(JsonNode array) {
    List<StoredRow> rows = new ArrayList<>();
    array.forEach(row -> rows.add(row(row)));
    return rows;
  }

  private static StoredRow row(JsonNode json) {
    return new StoredRow(
        json.required("key").asText(),
        json.required("value").asText(),
        json.required("version").asLong());
  }

  private static byte[] transactionJson(TableTransaction transaction) {
    ObjectNode json = PlatformCalls.JSON.createObjectNode().put("token", transaction.writeToken());
    ArrayNode writes = json.putArray("writes");
    for (RowWrite write : transaction.writes()) {
      writes
          .addObject()
          .put("key", write.key())
          .put("value", write.value())
          .put("expectedVersion", write.expectedVersion());
    }
    return json.toString().getBytes(UTF_8);
  }
}
