package dev.bambootray.adapters.http;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.ports.api.NodeApi;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Serves the interface of {@code docs/reference/http-api.md} for callers and operators. */
public final class HttpApiServer implements AutoCloseable {
  /** Time in which answers ask callers to close, before idle connections are closed. */
  private static final long NOTICE_MS = 500;

  private final EventLoopGroup group;
  private final HttpLimits limits;
  private final @Nullable ReloadableTls tls;
  private final RequestRouter router;
  private final Map<Channel, ConnectionHandler> connections = new ConcurrentHashMap<>();
  private final CompletableFuture<Boolean> stopped = new CompletableFuture<>();
  private final Channel listener;
  private volatile boolean stopping;
  private volatile boolean listenerClosed;

  private HttpApiServer(
      EventLoopGroup group,
      String host,
      int port,
      RequestRouter router,
      HttpLimits limits,
      @Nullable ReloadableTls tls) {
    this.group = group;
    this.limits = limits;
    this.tls = tls;
    this.router = router;
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Starts a server.
   *
   * @param group event loops for its connections
   * @param host IP number to listen on
   * @param port TCP port to listen on, 0 for any free one
   * @param api the node
   * @param probes what the unauthenticated calls return
   * @param limits bounds
   * @param tls keys, or null for plain HTTP
   */
  public static HttpApiServer start(
      EventLoopGroup group,
      String host,
      int port,
      NodeApi api,
      NodeProbes probes,
      HttpLimits limits,
      @Nullable ReloadableTls tls) {
    ApiRouter router = new ApiRouter(api, probes, limits.waitMs());
    return new HttpApiServer(group, host, port, router, limits, tls);
  }

  /**
   * Starts a server of another interface without TLS.
   *
   * @param group event loops for its connections
   * @param host IP number to listen on
   * @param port TCP port to listen on, 0 for any free one
   * @param router answers its requests
   * @param limits bounds
   */
  public static HttpApiServer start(
      EventLoopGroup group, String host, int port, RequestRouter router, HttpLimits limits) {
    return new HttpApiServer(group, host, port, router, limits, null);
  }

  /** Returns the TCP port that it listens on. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Stops accepting connections, lets requests in progress finish and closes each connection after
   * its answer. Idle connections get a short time to be used once more, as a request may cross with
   * a close; requests that have arrived but were not read yet are answered too. Connections that
   * remain after the grace period are closed.
   *
   * @param graceMs time for requests in progress, in milliseconds
   * @return completes with whether all requests were answered
   */
  public CompletableFuture<Boolean> stop(long graceMs) {
    return stop(Math.min(NOTICE_MS, graceMs / 2), graceMs);
  }

  /** Stops with a given time in which idle connections may still be used. */
  CompletableFuture<Boolean> stop(long noticeMs, long graceMs) {
    stopping = true;
    connections.values().forEach(ConnectionHandler::closeAfterAnswer);
    EventLoop loop = listener.eventLoop();
    var unusedNotice =
        loop.schedule(
            () -> LoopReads.catchUp(loop, this::closeListener), noticeMs, TimeUnit.MILLISECONDS);
    var unused = group.schedule(this::endGrace, graceMs, TimeUnit.MILLISECONDS);
    return stopped;
  }

  @Override
  public void close() {
    stop(0).join();
  }

  private void closeListener() {
    var unused =
        listener
            .close()
            .addListener(
                done -> {
                  listenerClosed = true;
                  connections.values().forEach(ConnectionHandler::closeWhenIdle);
                  completeIfIdle();
                });
  }

  private void endGrace() {
    if (stopped.isDone()) {
      return;
    }
    closeListener();
    if (connections.isEmpty()) {
      return;
    }
    Logger.warn("http: {} connections closed at the end of the grace period", connections.size());
    stopped.complete(false);
    for (Channel channel : connections.keySet()) {
      var unused = channel.close();
    }
  }

  private void completeIfIdle() {
    if (listenerClosed && connections.isEmpty()) {
      stopped.complete(true);
    }
  }

  private void accept(Channel channel) {
    if (connections.size() >= limits.connections()) {
      var unused = channel.close();
      return;
    }
    ReceiveDeadline arrival = new ReceiveDeadline(limits.receiveMs());
    ConnectionHandler handler = new ConnectionHandler(router, limits, arrival);
    connections.put(channel, handler);
    var unusedListener =
        channel
            .closeFuture()
            .addListener(
                done -> {
                  connections.remove(channel);
                  completeIfIdle();
                });
    if (tls != null) {
      channel.pipeline().addLast(tls.server().newHandler(channel.alloc()));
    }
    HttpDecoderConfig decoding =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.lineBytes())
            .setMaxHeaderSize(limits.headerBytes());
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(decoding),
            arrival,
            new BoundedAggregator(limits.bodyBytes(), handler),
            handler);
    if (stopping) {
      handler.closeAfterAnswer();
    }
    if (listenerClosed) {
      handler.closeWhenIdle();
    }
  }
}
