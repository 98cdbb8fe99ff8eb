package dev.bambootray.adapters.httpclient;

import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Connection pools of peers by address; a pool that is no longer used is dropped. */
public final class Peers {
  /** Pools of peers that have left are dropped after this time; calls take 3.4 s at most. */
  private static final long UNUSED_MS = 60_000;

  private record Peer(ConnectionPool pool, AtomicLong usedMs) {}

  private final EventLoop loop;
  private final ConnectionPool.Limits limits;
  private final LongSupplier clock;
  private final ConcurrentHashMap<String, Peer> peers = new ConcurrentHashMap<>();

  private Peers(EventLoop loop, ConnectionPool.Limits limits, LongSupplier clock) {
    this.loop = loop;
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Returns pools that connect when they are used.
   *
   * @param loop event loop of all connections
   * @param limits bounds of each pool
   */
  public static Peers create(EventLoop loop, ConnectionPool.Limits limits) {
    return create(loop, limits, Peers::nowMs);
  }

  /** Returns pools with a clock of their own, in milliseconds. */
  public static Peers create(EventLoop loop, ConnectionPool.Limits limits, LongSupplier clock) {
    return new Peers(loop, limits, clock);
  }

  /**
   * Sends a request to a peer.
   *
   * @param address host and port
   * @param request the request
   * @param timeoutMs time for the whole exchange, in milliseconds
   */
  public CompletableFuture<Outcome> send(String address, Request request, long timeoutMs) {
    Peer known = peers.get(address);
    if (known == null) {
      dropUnused();
      known = peers.computeIfAbsent(address, key -> new Peer(open(key), new AtomicLong()));
    }
    known.usedMs().set(clock.getAsLong());
    return known.pool().send(request, timeoutMs);
  }

  /** Returns the number of peers with connections or a place for them. */
  public int size() {
    return peers.size();
  }

  /** Addresses are rarely new, so this is the time to look for those that are no longer used. */
  private void dropUnused() {
    long nowMs = clock.getAsLong();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (nowMs - peer.usedMs().get() > UNUSED_MS && peers.remove(entry.getKey(), peer)) {
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
