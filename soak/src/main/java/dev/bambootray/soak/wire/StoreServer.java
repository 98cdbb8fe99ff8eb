package dev.bambootray.soak.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.adapters.http.RequestRouter;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Serves a store over HTTP; it can end and listen again on its port, and close connections that
 * callers want to keep. Callers send one request at a time on a connection. Confined to one event
 * loop.
 */
public final class StoreServer implements AutoCloseable {
  private static final int LARGEST_BODY_BYTES = 2 * 1024 * 1024;

  private final EventLoop loop;
  private final int port;
  private final RequestRouter store;
  private final SplittableRandom random;
  private final Set<Channel> open = new HashSet<>();
  private @Nullable Channel listener;

  /** Number of faults that keep it down, and of those that close connections after answers. */
  private int down;

  private int closing;

  private StoreServer(EventLoop loop, int port, RequestRouter store, long seed) {
    this.loop = loop;
    this.port = port;
    this.store = store;
    random = new SplittableRandom(seed);
  }

  /**
   * Starts a server. Must not be called on the loop.
   *
   * @param port a port that no other listener gets while the server is down
   * @param store answers the calls, on the loop
   * @param seed decides which closes are announced
   */
  public static StoreServer start(EventLoop loop, int port, RequestRouter store, long seed) {
    StoreServer server = new StoreServer(loop, port, store, seed);
    ChannelFuture bound = server.listen();
    var unusedBound = bound.syncUninterruptibly();
    return server;
  }

  /** Returns the port that it listens on. */
  public int port() {
    return port;
  }

  /**
   * Stops listening and closes all connections, without answers to the calls that wait. Connections
   * that arrive until the next turn of the loop are accepted by the system and then reset.
   */
  public void end() {
    down++;
    Channel current = listener;
    if (current != null) {
      listener = null;
      var unusedClose = current.close();
    }
    for (Channel channel : List.copyOf(open)) {
      var unusedClose = channel.close();
    }
  }

  /**
   * Listens again once this was called as often as {@link #end}.
   *
   * @return fails if it cannot listen, also because it has to be down again before it does
   */
  public Future<?> listenAgain() {
    down--;
    return down == 0 ? listen() : loop.newSucceededFuture(down);
  }

  /** Returns whether it has to be down. */
  public boolean isDown() {
    return down > 0;
  }

  /** Begins to close each connection after an answer, with or without an announcement. */
  public void beginToCloseAfterAnswers() {
    closing++;
  }

  /** Keeps connections again once this was called as often as the beginnings. */
  public void keepAfterAnswers() {
    closing--;
  }

  private ChannelFuture listen() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(Documents.HOST, port);
    listener = bound.channel();
    return bound;
  }

  private void accept(Channel channel) {
    open.add(channel);
    var unusedClose = channel.closeFuture().addListener(done -> open.remove(channel));
    channel
        .pipeline()
        .addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST_BODY_BYTES), new Calls());
  }

  /** Answers the calls of one connection. */
  private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
    private @Nullable PendingResponse waiting;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
      boolean kept = HttpUtil.isKeepAlive(message);
      PendingResponse pending = store.route(read(message));
      waiting = pending;
      var unusedAnswer = pending.response().thenAccept(response -> answer(context, response, kept));
    }

    private void answer(ChannelHandlerContext context, ApiResponse response, boolean kept) {
      boolean announced = !kept || (closing > 0 && random.nextBoolean());
      ChannelFuture written = context.writeAndFlush(message(response, !announced));
      if (announced || closing > 0) {
        var unusedClose = written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (waiting != null) {
        waiting.source().cancel(false);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // Connections that break are part of the soak; the other side learns it.
      var unusedClose = context.close();
    }
  }

  private static ApiRequest read(FullHttpRequest message) {
    QueryStringDecoder uri = new QueryStringDecoder(message.uri());
    return new ApiRequest(
        message.method().name(),
        uri.rawPath(),
        message.headers(),
        List.of(),
        uri.parameters(),
        "",
        "",
        null,
        "",
        message.content().toString(UTF_8));
  }

  private static DefaultFullHttpResponse message(ApiResponse response, boolean keepAlive) {
    byte[] body = response.body().getBytes(UTF_8);
    var message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(body));
    message
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
        .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    HttpUtil.setKeepAlive(message, keepAlive);
    return message;
  }

  @Override
  public void close() {
    loop.submit(this::end).syncUninterruptibly();
  }
}
