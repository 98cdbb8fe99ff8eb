package dev.bambootray.adapters.httpclient;

import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Body;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** One keep-alive connection of a {@link ConnectionPool}; confined to the pool's event loop. */
final class PooledConnection {

  /** Is notified when the exchange on a connection ends. */
  interface EndListener {
    void onEnd(PooledConnection connection, PooledExchange exchange, Outcome outcome);
  }

  private static final AtomicLong LAST_ID = new AtomicLong();

  private final long id = LAST_ID.incrementAndGet();
  private final EndListener listener;
  private final int maxResponseBytes;
  private @Nullable Channel channel;
  private @Nullable PooledExchange currentExchange;
  private @Nullable Future<?> idleTimer;
  private boolean reusable = true;
  private Lane lastLane = Lane.COMMAND;

  PooledConnection(EndListener listener, int maxResponseBytes) {
    this.listener = listener;
    this.maxResponseBytes = maxResponseBytes;
  }

  void install(Channel value) {
    channel = value;
    value
        .pipeline()
        .addLast(new HttpClientCodec(), new HttpObjectAggregator(maxResponseBytes), new Handler());
  }

  Channel channel() {
    if (channel == null) {
      throw new IllegalStateException("the connection has no channel yet");
    }
    return channel;
  }

  /** Returns its identity, which no other connection of this process has. */
  long id() {
    return id;
  }

  /** Returns the lane of its last exchange. */
  Lane lastLane() {
    return lastLane;
  }

  boolean isReusable() {
    return reusable && channel().isActive();
  }

  void write(PooledExchange exchange, String host) {
    currentExchange = exchange;
    Request request = exchange.request();
    lastLane = request.lane();
    var message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.path(),
            Unpooled.wrappedBuffer(request.body().bytes()));
    message
        .headers()
        .set(HttpHeaderNames.HOST, host)
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().bytes().length);
    request.headers().forEach((name, value) -> message.headers().set(name, value));
    HttpUtil.setKeepAlive(message, !request.fresh());
    var unused =
        channel()
            .writeAndFlush(message)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    end(new NoReply("writing failed: " + done.cause().getMessage()));
                  }
                });
  }

  /** Detaches the exchange, so that a late response is dropped. */
  void abandon() {
    currentExchange = null;
    reusable = false;
  }

  void close() {
    abandon();
    if (channel != null) {
      var unused = channel.close();
    }
  }

  void startIdleTimer(Future<?> timer) {
    idleTimer = timer;
  }

  void cancelIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
  }

  private void end(Outcome outcome) {
    PooledExchange exchange = currentExchange;
    currentExchange = null;
    if (exchange != null) {
      listener.onEnd(this, exchange, outcome);
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (!response.decoderResult().isSuccess()) {
        reusable = false;
        end(new NoReply("malformed response"));
        return;
      }
      reusable = reusable && HttpUtil.isKeepAlive(response);
      if (currentExchange == null) {
        close();
        return;
      }
      Body body = new Body(ByteBufUtil.getBytes(response.content()));
      end(new Answered(response.status().code(), body, id));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      reusable = false;
      end(new NoReply("the peer closed the connection"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      reusable = false;
      end(new NoReply("no whole response: " + cause.getMessage()));
      var unused = context.close();
    }
  }
}
