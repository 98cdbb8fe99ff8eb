package dev.bambootray.adapters.httpclient;

import static java.util.concurrent.TimeUnit.MICROSECONDS;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Keep-alive connections to one peer. All state belongs to one event loop, on which all connections
 * of the pool are registered.
 */
public final class ConnectionPool {
  private static final long IDLE_TIMEOUT_MS = 30_000;
  private static final long PEER_CLOSE_TIMEOUT_MS = 1_000;
  private static final String UNAVAILABLE = "the connection of the request is closed or in use";

  /**
   * Limits of a pool.
   *
   * @param runs connections that runs may hold at a time
   * @param polls connections that polls may hold at a time
   * @param runsAndCommands connections that runs and commands may hold together
   * @param maxResponseBytes largest response body
   */
  public record Limits(int runs, int polls, int runsAndCommands, int maxResponseBytes) {
    int connections() {
      return polls + runsAndCommands;
    }
  }

  private final EventLoop loop;
  private final String host;
  private final int port;
  private final Limits limits;
  private final long delayMicros;
  private final Map<Lane, Deque<PooledExchange>> queues = new EnumMap<>(Lane.class);
  private final Map<Lane, Integer> inUse = new EnumMap<>(Lane.class);
  private final IdleConnections idle = new IdleConnections();
  private final List<PooledExchange> active = new ArrayList<>();
  private int connections;
  private boolean closed;

  /**
   * Creates a pool that connects on demand.
   *
   * @param loop event loop of all its connections
   * @param host IP address of the peer
   * @param port TCP port of the peer
   * @param limits its limits
   * @param delay emulated latency, {@link LinkDelay#NONE} in production
   */
  public ConnectionPool(EventLoop loop, String host, int port, Limits limits, LinkDelay delay) {
    this.loop = loop;
    this.host = host;
    this.port = port;
    this.limits = limits;
    this.delayMicros = delay.oneWayMicros(host, port);
    for (Lane lane : Lane.values()) {
      queues.put(lane, new ArrayDeque<>());
      inUse.put(lane, 0);
    }
  }

  /** Sends a request; the future completes on the event loop and never exceptionally. */
  public CompletableFuture<Outcome> send(Request request, long timeoutMs) {
    PooledExchange exchange = new PooledExchange(request);
    if (loop.isShuttingDown()) {
      exchange.complete(new NotSent("the client is closed"));
      return exchange.future();
    }
    loop.execute(() -> enqueue(exchange, timeoutMs));
    return exchange.future();
  }

  /** Closes the connection of each active exchange with the given tag. */
  public void closeConnectionOf(Object tag) {
    loop.execute(
        () ->
            List.copyOf(active).stream()
                .filter(exchange -> tag.equals(exchange.request().tag()))
                .forEach(exchange -> fail(exchange, "the connection was closed on request")));
  }

  /** Closes all connections; active exchanges end without a reply. */
  public void close() {
    if (!loop.isShuttingDown()) {
      loop.execute(this::closeOnLoop);
    }
  }

  private void closeOnLoop() {
    closed = true;
    queues.values().stream()
        .flatMap(queue -> List.copyOf(queue).stream())
        .forEach(exchange -> fail(exchange, "the client is closed"));
    List.copyOf(active).forEach(exchange -> fail(exchange, "the client is closed"));
    idle.closeAll();
  }

  private void enqueue(PooledExchange exchange, long timeoutMs) {
    if (closed) {
      exchange.complete(new NotSent("the client is closed"));
      return;
    }
    if (idle.lacksConnectionOf(exchange.request())) {
      exchange.complete(new NotSent(UNAVAILABLE));
      return;
    }
    exchange.setTimer(
        loop.schedule(
            () -> fail(exchange, "no answer within " + timeoutMs + " ms"),
            timeoutMs,
            MILLISECONDS));
    queue(exchange).add(exchange);
    dispatch();
  }

  /**
   * Starts queued exchanges whose lanes have free connections. Commands go before runs, which may
   * hold a connection for a long time.
   */
  private void dispatch() {
    for (Lane lane : List.of(Lane.POLL, Lane.COMMAND, Lane.RUN)) {
      Deque<PooledExchange> queue = queues.getOrDefault(lane, new ArrayDeque<>());
      while (!queue.isEmpty() && hasFreeConnection(lane)) {
        PooledExchange exchange = queue.remove();
        if (idle.lacksConnectionOf(exchange.request())) {
          exchange.complete(new NotSent(UNAVAILABLE));
        } else {
          start(exchange);
        }
      }
    }
  }

  private boolean hasFreeConnection(Lane lane) {
    int runs = count(Lane.RUN);
    return switch (lane) {
      case POLL -> count(Lane.POLL) < limits.polls();
      case COMMAND -> runs + count(Lane.COMMAND) < limits.runsAndCommands();
      case RUN -> runs < limits.runs() && runs + count(Lane.COMMAND) < limits.runsAndCommands();
    };
  }

  private void start(PooledExchange exchange) {
    active.add(exchange);
    inUse.merge(exchange.request().lane(), 1, Integer::sum);
    boolean mayOpen = connections < limits.connections();
    Optional<PooledConnection> reused = idle.take(exchange.request(), mayOpen);
    if (reused.isPresent()) {
      writeAfterDelay(exchange, reused.get());
      return;
    }
    closeIdleIfFull();
    connections++;
    PooledConnection connection = new PooledConnection(this::onEnd, limits.maxResponseBytes());
    ChannelFuture connecting = connect(connection);
    exchange.attach(connection, connecting.channel());
    var unusedClose = connecting.channel().closeFuture().addListener(done -> onClosed(connection));
    var unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                writeAfterDelay(exchange, connection);
              } else {
                fail(exchange, "cannot connect: " + done.cause().getMessage());
              }
            });
  }

  private ChannelFuture connect(PooledConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connection.install(channel);
              }
            })
        .connect(host, port);
  }

  private void writeAfterDelay(PooledExchange exchange, PooledConnection connection) {
    if (exchange.isDone()) {
      return;
    }
    exchange.attach(connection, connection.channel());
    if (delayMicros == 0) {
      write(exchange, connection);
      return;
    }
    var unused = loop.schedule(() -> write(exchange, connection), delayMicros, MICROSECONDS);
  }

  private void write(PooledExchange exchange, PooledConnection connection) {
    if (exchange.isDone()) {
      return;
    }
    if (!connection.channel().isActive()) {
      fail(exchange, "the connection is closed");
      return;
    }
    exchange.markWritten();
    connection.write(exchange, host);
  }

  /** Called by a connection when its exchange has a complete response or cannot get one. */
  private void onEnd(PooledConnection connection, PooledExchange exchange, Outcome outcome) {
    if (delayMicros == 0) {
      finish(connection, exchange, outcome);
      return;
    }
    var unused =
        loop.schedule(() -> finish(connection, exchange, outcome), delayMicros, MICROSECONDS);
  }

  private void finish(PooledConnection connection, PooledExchange exchange, Outcome outcome) {
    if (exchange.isDone()) {
      return;
    }
    if (outcome instanceof NoReply noReply) {
      fail(exchange, noReply.reason());
      return;
    }
    if (exchange.request().fresh()) {
      exchange.complete(outcome);
      releaseWhenClosed(exchange, connection);
      return;
    }
    release(exchange);
    if (connection.isReusable() && !closed && mayKeep(exchange.request())) {
      idle.add(connection);
      connection.startIdleTimer(loop.schedule(connection::close, IDLE_TIMEOUT_MS, MILLISECONDS));
    } else {
      connection.close();
    }
    exchange.complete(outcome);
    dispatch();
  }

  /** Returns whether a connection may stay open; that of a poll may be named by the next one. */
  private boolean mayKeep(Request request) {
    return connections < limits.connections() || request.lane() == Lane.POLL;
  }

  /**
   * Counts a fresh connection as in use until it is closed, normally by the peer, so that the peer
   * never sees more connections than the limit.
   */
  private void releaseWhenClosed(PooledExchange exchange, PooledConnection connection) {
    connection.abandon();
    var unused = loop.schedule(connection::close, PEER_CLOSE_TIMEOUT_MS, MILLISECONDS);
    var unusedClose =
        connection
            .channel()
            .closeFuture()
            .addListener(
                done -> {
                  release(exchange);
                  dispatch();
                });
  }

  /**
   * Ends an exchange without a response and closes its connection. Idle connections are closed as
   * well after an exchange that got no reply, because several connections can stop responding at
   * once while new ones work.
   */
  private void fail(PooledExchange exchange, String reason) {
    if (exchange.isDone()) {
      return;
    }
    queue(exchange).remove(exchange);
    release(exchange);
    exchange.closeConnection();
    if (exchange.isWritten()) {
      idle.closeAll();
      exchange.complete(new NoReply(reason));
    } else {
      exchange.complete(new NotSent(reason));
    }
    dispatch();
  }

  private void release(PooledExchange exchange) {
    if (active.remove(exchange)) {
      inUse.merge(exchange.request().lane(), -1, Integer::sum);
    }
  }

  private void onClosed(PooledConnection connection) {
    connections--;
    idle.remove(connection);
  }

  private void closeIdleIfFull() {
    while (connections >= limits.connections() && !idle.isEmpty()) {
      idle.closeOldest();
    }
  }

  private Deque<PooledExchange> queue(PooledExchange exchange) {
    return queues.getOrDefault(exchange.request().lane(), new ArrayDeque<>());
  }

  private int count(Lane lane) {
    return inUse.getOrDefault(lane, 0);
  }
}
