package dev.bambootray.adapters.platform;

import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.ports.ObjectStore;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store over HTTP. */
final class HttpObjectStore implements ObjectStore {
  private static final String PEER = "objects";

  private final PlatformCalls calls;

  HttpObjectStore(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<StoreError, Boolean>> put(String name, byte[] content) {
    Request request = Request.of("PUT", path(name), content, Lane.COMMAND);
    return calls
        .send(request)
        .thenApply(outcome -> calls.readBytes(PEER, outcome, true).map(body -> true));
  }

  @Override
  public CompletableFuture<Either<StoreError, Optional<byte[]>>> get(String name) {
    return calls
        .send(Request.get(path(name)))
        .thenApply(
            outcome ->
                outcome instanceof Answered answered && answered.status() == 404
                    ? Either.right(Optional.empty())
                    : calls.readBytes(PEER, outcome, false).map(Optional::of));
  }

  private static String path(String name) {
    return "/objects/" + PlatformCalls.encode(name);
  }
}
