package dev.bambootray.adapters.httpclient;

import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** One exchange of a {@link ConnectionPool}; confined to the pool's event loop. */
final class PooledExchange {
  private final Request request;
  private final CompletableFuture<Outcome> future = new CompletableFuture<>();
  private @Nullable Future<?> timer;
  private @Nullable PooledConnection connection;
  private @Nullable Channel channel;
  private boolean written;

  PooledExchange(Request request) {
    this.request = request;
  }

  Request request() {
    return request;
  }

  CompletableFuture<Outcome> future() {
    return future;
  }

  boolean isDone() {
    return future.isDone();
  }

  boolean isWritten() {
    return written;
  }

  void markWritten() {
    written = true;
  }

  void setTimer(Future<?> value) {
    timer = value;
  }

  void attach(PooledConnection owner, Channel value) {
    connection = owner;
    channel = value;
  }

  void complete(Outcome outcome) {
    if (timer != null) {
      timer.cancel(false);
    }
    future.complete(outcome);
  }

  void closeConnection() {
    if (connection != null) {
      connection.abandon();
    }
    if (channel != null) {
      var unused = channel.close();
    }
  }
}
