package dev.bambootray.adapters.httpclient;

import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Sends requests over one connection pool for each peer and closes pools that are not used. */
public final class PeerConnectionPools {
  /** A pool is closed if it was not used for this time; calls take 3.4 s at most. */
  private static final long UNUSED_TIMEOUT_MS = 60_000;

  private record PooledPeer(ConnectionPool pool, AtomicLong lastUsedMs) {}

  private final EventLoop loop;
  private final ConnectionPool.Limits limits;
  private final LongSupplier clock;
  private final ConcurrentHashMap<String, PooledPeer> peers = new ConcurrentHashMap<>();

  private PeerConnectionPools(EventLoop loop, ConnectionPool.Limits limits, LongSupplier clock) {
    this.loop = loop;
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Returns pools that connect on demand.
   *
   * @param loop event loop of all connections
   * @param limits bounds of each pool
   */
  public static PeerConnectionPools create(EventLoop loop, ConnectionPool.Limits limits) {
    return create(loop, limits, PeerConnectionPools::nowMs);
  }

  /** Returns pools that use the given clock, in milliseconds. */
  public static PeerConnectionPools create(
      EventLoop loop, ConnectionPool.Limits limits, LongSupplier clock) {
    return new PeerConnectionPools(loop, limits, clock);
  }

  /**
   * Sends a request to a peer.
   *
   * @param address host and port
   * @param request the request
   * @param timeoutMs time for the whole exchange, in milliseconds
   */
  public CompletableFuture<Outcome> send(String address, Request request, long timeoutMs) {
    PooledPeer known = peers.get(address);
    if (known == null) {
      dropUnused();
      known = peers.computeIfAbsent(address, key -> new PooledPeer(open(key), new AtomicLong()));
    }
    known.lastUsedMs().set(clock.getAsLong());
    return known.pool().send(request, timeoutMs);
  }

  /** Returns the number of peers that have a pool. */
  public int size() {
    return peers.size();
  }

  /** Closes unused pools; it runs only for a new address, which is rare. */
  private void dropUnused() {
    long nowMs = clock.getAsLong();
    for (Map.Entry<String, PooledPeer> entry : peers.entrySet()) {
      PooledPeer peer = entry.getValue();
      if (nowMs - peer.lastUsedMs().get() > UNUSED_TIMEOUT_MS
          && peers.remove(entry.getKey(), peer)) {
        peer.pool().close();
      }
    }
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private ConnectionPool open(String address) {
    int colon = address.lastIndexOf(':');
    return new ConnectionPool(
        loop,
        address.substring(0, colon),
        Integer.parseInt(address.substring(colon + 1)),
        limits,
        LinkDelay.NONE);
  }
}
