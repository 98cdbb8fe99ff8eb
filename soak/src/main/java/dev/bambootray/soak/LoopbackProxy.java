package dev.bambootray.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections on loopback and disturbs them; confined to one event loop. */
final class LoopbackProxy implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  /** What happens to the bytes of all connections. */
  enum Mode {
    /** They are forwarded. */
    PASS,
    /** Connections are reset. */
    RESET,
    /** What comes from the connecting side is dropped. */
    CUT_THERE,
    /** What goes to the connecting side is dropped. */
    CUT_BACK,
    /** Everything is dropped. */
    CUT,
    /** Everything arrives later. */
    DELAY
  }

  private static final long DELAY_MS = 250;

  private final EventLoop loop;
  private final int targetPort;
  private final Set<Channel> open = new HashSet<>();
  private final Channel listener;
  private Mode mode = Mode.PASS;
  private boolean down;

  private LoopbackProxy(EventLoop loop, int targetPort) {
    this.loop = loop;
    this.targetPort = targetPort;
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(HOST, 0)
            .syncUninterruptibly()
            .channel();
  }

  /** Starts a proxy on a free port. Must not be called on the loop. */
  static LoopbackProxy start(EventLoop loop, int targetPort) {
    return new LoopbackProxy(loop, targetPort);
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Changes what happens from now on; a reset closes what is open, bytes that are cut are lost. */
  void set(Mode newMode) {
    // A connection whose bytes were lost cannot go on: its other end would read a mix.
    boolean lossy = mode == Mode.CUT || mode == Mode.CUT_THERE || mode == Mode.CUT_BACK;
    mode = newMode;
    if (lossy || newMode == Mode.RESET) {
      resetAll();
    }
  }

  /** Sets whether connections are reset in every mode, as by a machine without the program. */
  void setDown(boolean value) {
    down = value;
    if (down) {
      resetAll();
    }
  }

  /** Closes all open connections without the usual farewell. */
  void resetAll() {
    for (Channel channel : List.copyOf(open)) {
      reset(channel);
    }
  }

  private static void reset(Channel channel) {
    if (!channel.isOpen()) {
      return;
    }
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    var unusedClose = channel.close();
  }

  private void accept(Channel front) {
    if (down || mode == Mode.RESET) {
      reset(front);
      return;
    }
    track(front);
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel back) {
                    back.pipeline().addLast(new Relay(front, Mode.CUT_BACK));
                  }
                })
            .connect(HOST, targetPort);
    Channel back = connected.channel();
    track(back);
    front.pipeline().addLast(new Relay(back, Mode.CUT_THERE));
    var unusedConnect =
        connected.addListener(
            done -> {
              if (done.isSuccess()) {
                front.read();
                back.read();
              } else {
                reset(front);
              }
            });
  }

  private void track(Channel channel) {
    open.add(channel);
    var unusedClose = channel.closeFuture().addListener(done -> open.remove(channel));
  }

  /** Forwards what one side sends to the other. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final Mode cutBy;

    private Relay(Channel other, Mode cutBy) {
      this.other = other;
      this.cutBy = cutBy;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      if (mode == cutBy || mode == Mode.CUT) {
        ReferenceCountUtil.release(bytes);
        context.read();
      } else if (mode == Mode.DELAY) {
        var unusedTimer =
            loop.schedule(() -> forward(context, bytes), DELAY_MS, TimeUnit.MILLISECONDS);
      } else {
        forward(context, bytes);
      }
    }

    private void forward(ChannelHandlerContext context, Object bytes) {
      var unusedWrite =
          other
              .writeAndFlush(bytes)
              .addListener(
                  done -> {
                    if (done.isSuccess()) {
                      context.read();
                    } else {
                      var unusedClose = context.close();
                    }
                  });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (mode == Mode.CUT || mode == cutBy) {
        return; // The other side does not see it either.
      }
      var unusedClose = other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A connection that breaks is what the soak is about; the other side learns it.
      reset(context.channel());
    }
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    loop.submit(this::resetAll).syncUninterruptibly();
  }
}
