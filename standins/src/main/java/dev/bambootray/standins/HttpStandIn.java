package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** A small HTTP server on a loopback port that shows faults on demand. */
public final class HttpStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024 + 64 * 1024;

  private final Faults faults;
  private final int maxConnections;
  private final Consumer<HttpCall> routes;
  private final Channel listener;
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private final Set<Channel> silent = ConcurrentHashMap.newKeySet();
  private final AtomicInteger peak = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final List<HttpCall> held = new ArrayList<>();
  private boolean paused;

  HttpStandIn(EventLoopGroup group, long seed, int maxConnections, Consumer<HttpCall> routes) {
    faults = Faults.seeded(seed);
    this.maxConnections = maxConnections;
    this.routes = routes;
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the loopback port. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the faults of each request, to set. */
  public Faults faults() {
    return faults;
  }

  /** Applies the faults that the body of a control call names. */
  void control(JsonNode change) {
    faults.applyJson(change);
    if (change.has("paused")) {
      setPaused(change.get("paused").asBoolean());
    }
    if (change.path("silenceOpenConnections").asBoolean()) {
      silenceOpenConnections();
    }
  }

  ObjectNode counters() {
    return HttpCall.JSON
        .createObjectNode()
        .put("openConnections", open.size())
        .put("peakConnections", peak.get())
        .put("refusedConnections", refused.get());
  }

  /** Makes all open connections silent for good; new ones work. */
  public void silenceOpenConnections() {
    silent.addAll(open);
  }

  /** Holds all requests until it is set to false again. */
  public void setPaused(boolean value) {
    List<HttpCall> resumed;
    synchronized (held) {
      paused = value;
      resumed = value ? List.of() : List.copyOf(held);
      held.removeAll(resumed);
    }
    resumed.forEach(this::hold);
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    open.forEach(this::retire);
  }

  private void accept(Channel channel) {
    synchronized (open) {
      if (open.size() >= maxConnections) {
        refused.incrementAndGet();
        var unused = channel.close();
        return;
      }
      open.add(channel);
      peak.accumulateAndGet(open.size(), Math::max);
    }
    var unusedListener = channel.closeFuture().addListener(closed -> retire(channel));
    channel
        .pipeline()
        .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
  }

  boolean isSilent(Channel channel) {
    return silent.contains(channel);
  }

  /** Counts the connection out before the peer can see that it is closed. */
  void retire(Channel channel) {
    open.remove(channel);
    silent.remove(channel);
    var unused = channel.close();
  }

  private void receive(HttpCall call, Channel channel) {
    if (isSilent(channel)) {
      return;
    }
    if (call.path().equals("/control")) {
      route(call);
    } else if (faults.away) {
      call.drop();
    } else {
      var unused =
          channel.eventLoop().schedule(() -> hold(call), faults.latencyMs, TimeUnit.MILLISECONDS);
    }
  }

  private void hold(HttpCall call) {
    synchronized (held) {
      if (paused) {
        held.add(call);
        return;
      }
    }
    if (faults.isOverRate(System.currentTimeMillis())) {
      call.answer(429, HttpCall.JSON.createObjectNode());
      return;
    }
    if (faults.nextAnswerIsLost()) {
      call.loseAnswer();
    }
    route(call);
  }

  private void route(HttpCall call) {
    try {
      routes.accept(call);
    } catch (RuntimeException e) {
      Logger.debug("stand-in: malformed request to {}: {}", call.path(), e.toString());
      call.answer(400, HttpCall.JSON.createObjectNode().put("error", String.valueOf(e)));
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      receive(new HttpCall(HttpStandIn.this, context.channel(), request), context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      retire(context.channel());
    }
  }
}
