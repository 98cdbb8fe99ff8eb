package dev.bambootray.adapters.peer;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.ports.PeerNetwork;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Messages between nodes over TCP. Each direction between two nodes has its own connection, so the
 * answer to a message comes back on a connection that the answering node opens.
 */
public final class TcpPeerNetwork implements PeerNetwork {
  private static final int MAX_INCOMING = 128;
  private static final int IDLE_CLOSE_SECONDS = 120;

  private final EventLoopGroup group;
  private final PeerTraffic traffic;
  private final LinkLatency latency;
  private final @Nullable ReloadableTls tls;
  private final SplittableRandom random;
  private final MessageCodec codec = MessageCodec.create();
  private final Map<PeerAddress, OutgoingPeer> outgoing = new ConcurrentHashMap<>();
  private final Set<Channel> incoming = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile @Nullable Consumer<PeerMessage> receiver;

  private TcpPeerNetwork(Builder builder) {
    group = builder.group;
    traffic = builder.traffic;
    latency = builder.latency;
    tls = builder.tls;
    random = new SplittableRandom(builder.seed);
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
            .bind(builder.host, builder.port)
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Returns a builder of a network that listens as soon as it is built; connections are accepted
   * after {@link #start}.
   *
   * @param group event loops for its connections
   * @param host IP number to listen on
   * @param port TCP port to listen on, 0 for any free one
   */
  public static Builder builder(EventLoopGroup group, String host, int port) {
    return new Builder(group, host, port);
  }

  /** Returns the TCP port that it listens on. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void send(PeerAddress address, PeerMessage message) {
    Either<String, byte[]> frame = codec.encode(message);
    if (frame.isLeft()) {
      Logger.error("peer: message to {} not sent: {}", address, frame.getLeft());
      return;
    }
    peer(address).send(frame.get());
  }

  @Override
  public void reset(PeerAddress address) {
    peer(address).reset();
  }

  @Override
  public void start(Consumer<PeerMessage> messageReceiver) {
    receiver = messageReceiver;
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    outgoing.values().forEach(OutgoingPeer::close);
    for (Channel channel : incoming) {
      var unused = channel.close();
    }
  }

  private OutgoingPeer peer(PeerAddress address) {
    return outgoing.computeIfAbsent(address, this::newPeer);
  }

  private OutgoingPeer newPeer(PeerAddress address) {
    SplittableRandom own;
    synchronized (random) {
      own = random.split();
    }
    return new OutgoingPeer(
        group.next(), address, traffic, latency.oneWayMicros(address), tls, own);
  }

  private void accept(Channel channel) {
    Consumer<PeerMessage> to = receiver;
    if (to == null || incoming.size() >= MAX_INCOMING) {
      var unused = channel.close();
      return;
    }
    incoming.add(channel);
    var unusedListener = channel.closeFuture().addListener(done -> incoming.remove(channel));
    if (tls != null) {
      channel.pipeline().addLast(tls.server().newHandler(channel.alloc()));
    }
    channel.pipeline().addLast(new IdleStateHandler(IDLE_CLOSE_SECONDS, 0, 0));
    Frames.install(channel.pipeline());
    channel.pipeline().addLast(new IncomingHandler(codec, traffic, to));
  }

  /** Collects the settings of a network. */
  public static final class Builder {
    private final EventLoopGroup group;
    private final String host;
    private final int port;
    private PeerTraffic traffic = PeerTraffic.IGNORED;
    private LinkLatency latency = LinkLatency.NONE;
    private @Nullable ReloadableTls tls;
    private long seed;

    private Builder(EventLoopGroup group, String host, int port) {
      this.group = group;
      this.host = host;
      this.port = port;
    }

    /** Sets who learns of the traffic. */
    public Builder traffic(PeerTraffic value) {
      traffic = value;
      return this;
    }

    /** Sets an emulated latency. */
    public Builder latency(LinkLatency value) {
      latency = value;
      return this;
    }

    /** Sets the keys with which nodes authenticate each other; null for plain TCP. */
    public Builder tls(@Nullable ReloadableTls value) {
      tls = value;
      return this;
    }

    /** Sets the seed of the backoff's random numbers. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Starts to listen. */
    public TcpPeerNetwork build() {
      return new TcpPeerNetwork(this);
    }
  }
}
