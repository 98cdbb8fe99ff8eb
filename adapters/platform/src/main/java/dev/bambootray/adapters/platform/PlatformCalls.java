package dev.bambootray.adapters.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.bambootray.adapters.httpclient.ConnectionPool;
import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.core.store.StoreError;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Calls to the platform's services and the reading of their replies. */
final class PlatformCalls {
  static final ObjectMapper JSON = new ObjectMapper();

  private final ConnectionPool pool;
  private final long timeoutMs;

  PlatformCalls(ConnectionPool pool, long timeoutMs) {
    this.pool = pool;
    this.timeoutMs = timeoutMs;
  }

  /** Percent-encodes a text so that it fits into one path segment or query value. */
  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  CompletableFuture<Outcome> send(Request request) {
    return pool.send(request, timeoutMs);
  }

  /**
   * Reads a JSON reply.
   *
   * @param peer the part of the platform that was called
   * @param outcome how the exchange ended
   * @param writes whether the call has an effect, so that it may have been applied without a reply
   * @param reader reads the body of a reply with status 200
   */
  <T extends @Nullable Object> Either<StoreError, T> read(
      String peer, Outcome outcome, boolean writes, Function<JsonNode, T> reader) {
    return readBytes(peer, outcome, writes)
        .flatMap(
            body -> {
              try {
                return Either.right(reader.apply(JSON.readTree(body)));
              } catch (IOException | IllegalArgumentException e) {
                return Either.left(new StoreError(peer, "malformed reply", writes));
              }
            });
  }

  /** Reads a reply of any content; other statuses than 200 are errors. */
  Either<StoreError, byte[]> readBytes(String peer, Outcome outcome, boolean writes) {
    if (outcome instanceof Answered answered) {
      int status = answered.status();
      // The protocol excludes effects only for these statuses.
      boolean noEffect = status == 400 || status == 413 || status == 429 || status == 503;
      return status == 200
          ? Either.right(answered.body().bytes())
          : Either.left(new StoreError(peer, "status " + status, writes && !noEffect));
    }
    if (outcome instanceof NotSent notSent) {
      return Either.left(new StoreError(peer, "not sent: " + notSent.reason(), false));
    }
    return Either.left(new StoreError(peer, "no reply: " + ((NoReply) outcome).reason(), writes));
  }
}
