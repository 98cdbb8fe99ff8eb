package dev.bambootray.adapters.httpclient;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An HTTP server on loopback whose calls are answered one by one by the test. */
final class ManualPeer implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 1_024;
  private static final long CALL_TIMEOUT_MS = 5_000;

  /** A call that the server has received. */
  record Call(Channel channel, String path) {
    void answer() {
      answer(true);
    }

    void answerAndClose() {
      answer(false);
    }

    private void answer(boolean keepAlive) {
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
      HttpUtil.setKeepAlive(response, keepAlive);
      channel.writeAndFlush(response).syncUninterruptibly();
    }
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
  private final Channel listener =
      new ServerBootstrap()
          .group(group)
          .channel(NioServerSocketChannel.class)
          .childHandler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                  channel
                      .pipeline()
                      .addLast(
                          new HttpServerCodec(),
                          new HttpObjectAggregator(MAX_REQUEST_BYTES),
                          new Recorder());
                }
              })
          .bind("127.0.0.1", 0)
          .syncUninterruptibly()
          .channel();

  EventLoop loop() {
    return group.next();
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Refuses connections from now on. */
  void closeListener() {
    listener.close().syncUninterruptibly();
  }

  /** Returns the next call. */
  Call nextCall() throws InterruptedException {
    return Objects.requireNonNull(
        calls.poll(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS), "no call arrived");
  }

  boolean hasCalls() {
    return !calls.isEmpty();
  }

  @Override
  public void close() {
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Recorder extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      calls.add(new Call(context.channel(), request.uri()));
    }
  }
}
