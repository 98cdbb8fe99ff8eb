package dev.bambootray.adapters.peer;

import static java.util.concurrent.TimeUnit.MICROSECONDS;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The connection on which messages go to one peer. It is opened when there is a message, and after
 * a failure not before a random part of a doubling backoff has passed. Frames that wait are bounded
 * in bytes; further ones are dropped. Apart from the bound, all state belongs to one event loop.
 */
final class OutgoingPeer {
  private static final long MAX_PENDING_BYTES = 4L * 1024 * 1024;
  private static final long FIRST_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 2_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_FAILURES_COUNTED = 10;

  private final EventLoop loop;
  private final PeerAddress address;
  private final PeerTraffic traffic;
  private final long delayMicros;
  private final @Nullable ReloadableTls tls;
  private final SplittableRandom random;
  private final AtomicLong pendingBytes = new AtomicLong();
  private final Deque<byte[]> waiting = new ArrayDeque<>();
  private @Nullable Channel connecting;
  private @Nullable Channel connected;
  private java.util.concurrent.@Nullable Future<?> backoff;
  private int failures;
  private boolean closed;

  OutgoingPeer(
      EventLoop loop,
      PeerAddress address,
      PeerTraffic traffic,
      long delayMicros,
      @Nullable ReloadableTls tls,
      SplittableRandom random) {
    this.loop = loop;
    this.address = address;
    this.traffic = traffic;
    this.delayMicros = delayMicros;
    this.tls = tls;
    this.random = random;
  }

  void send(byte[] frame) {
    if (pendingBytes.addAndGet(frame.length) > MAX_PENDING_BYTES || loop.isShuttingDown()) {
      drop(frame);
      return;
    }
    if (delayMicros == 0) {
      loop.execute(() -> offer(frame));
      return;
    }
    var unused = loop.schedule(() -> offer(frame), delayMicros, MICROSECONDS);
  }

  void reset() {
    loop.execute(
        () -> {
          cancelBackoff();
          failures = 0;
          closeChannels();
        });
  }

  void close() {
    if (loop.isShuttingDown()) {
      return;
    }
    loop.execute(
        () -> {
          closed = true;
          cancelBackoff();
          dropWaiting();
          closeChannels();
        });
  }

  private void offer(byte[] frame) {
    if (closed) {
      drop(frame);
      return;
    }
    Channel channel = connected;
    if (channel != null && channel.isActive()) {
      write(channel, frame);
      return;
    }
    waiting.add(frame);
    if (connecting == null && backoff == null) {
      connect();
    }
  }

  private void connect() {
    var attempt =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    install(channel);
                  }
                })
            .connect(address.host(), address.port());
    Channel channel = attempt.channel();
    connecting = channel;
    var unusedClose = channel.closeFuture().addListener(done -> onClosed(channel));
    var unused =
        attempt.addListener(
            done -> {
              if (!done.isSuccess()) {
                onFailed(channel, done.cause());
                return;
              }
              SslHandler ssl = channel.pipeline().get(SslHandler.class);
              if (ssl == null) {
                onConnected(channel);
                return;
              }
              var unusedHandshake =
                  ssl.handshakeFuture().addListener(shaken -> onHandshake(channel, shaken));
            });
  }

  private void install(Channel channel) {
    if (tls != null) {
      channel.pipeline().addLast(tls.client().newHandler(channel.alloc()));
    }
    Frames.install(channel.pipeline());
    channel.pipeline().addLast(new RefusalHandler());
  }

  private void onHandshake(Channel channel, Future<?> handshake) {
    if (handshake.isSuccess()) {
      onConnected(channel);
    } else {
      onFailed(channel, handshake.cause());
    }
  }

  private void onConnected(Channel channel) {
    if (connecting != channel) {
      var unused = channel.close();
      return;
    }
    connecting = null;
    connected = channel;
    failures = 0;
    while (!waiting.isEmpty()) {
      write(channel, waiting.remove());
    }
  }

  private void onFailed(Channel channel, Throwable cause) {
    if (connecting != channel) {
      return;
    }
    Logger.debug("peer: cannot connect to {}: {}", address, cause.getMessage());
    connecting = null;
    var unused = channel.close();
    backOff();
  }

  private void onClosed(Channel channel) {
    if (connected == channel) {
      connected = null;
    }
  }

  private void backOff() {
    dropWaiting();
    failures = Math.min(failures + 1, MAX_FAILURES_COUNTED);
    long boundMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << failures);
    backoff = loop.schedule(this::onBackoffEnd, random.nextLong(boundMs) + 1, MILLISECONDS);
  }

  private void onBackoffEnd() {
    backoff = null;
    if (!waiting.isEmpty() && connecting == null && !closed) {
      connect();
    }
  }

  private void write(Channel channel, byte[] frame) {
    traffic.sent(address, frame.length + Frames.LENGTH_BYTES);
    var unused =
        channel
            .writeAndFlush(Unpooled.wrappedBuffer(frame))
            .addListener(done -> pendingBytes.addAndGet(-frame.length));
  }

  private void drop(byte[] frame) {
    pendingBytes.addAndGet(-frame.length);
    traffic.dropped(address, frame.length);
  }

  private void dropWaiting() {
    while (!waiting.isEmpty()) {
      drop(waiting.remove());
    }
  }

  private void cancelBackoff() {
    if (backoff != null) {
      backoff.cancel(false);
      backoff = null;
    }
  }

  private void closeChannels() {
    Channel first = connecting;
    Channel second = connected;
    connecting = null;
    connected = null;
    if (first != null) {
      var unused = first.close();
    }
    if (second != null) {
      var unused = second.close();
    }
  }

  /** The peer writes on this connection only to refuse the version of a frame. */
  private final class RefusalHandler extends SimpleChannelInboundHandler<byte[]> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, byte[] frame) {
      Logger.warn("peer: {} refuses messages of version {}", address, MessageCodec.VERSION);
      connected = null;
      failures = MAX_FAILURES_COUNTED;
      if (backoff == null) {
        backOff();
      }
      var unused = context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }
  }
}
