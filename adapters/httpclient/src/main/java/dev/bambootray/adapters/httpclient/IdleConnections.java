package dev.bambootray.adapters.httpclient;

import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Open connections of a {@link ConnectionPool} that no exchange uses, the last used one first.
 *
 * <p>A poll reuses the connection of the last poll, and other requests leave that connection idle,
 * because the next poll may be bound to it.
 */
final class IdleConnections {
  private final Deque<PooledConnection> idle = new ArrayDeque<>();

  void add(PooledConnection connection) {
    idle.push(connection);
  }

  void remove(PooledConnection connection) {
    idle.remove(connection);
    connection.cancelIdleTimer();
  }

  /** Returns whether a request is bound to a connection that is not idle. */
  boolean lacksConnectionOf(Request request) {
    return request.connection() != Request.ANY_CONNECTION
        && idle.stream().noneMatch(connection -> isOpenAs(connection, request.connection()));
  }

  /**
   * Takes a connection for a request.
   *
   * @param mayOpen whether the pool may open a connection instead
   */
  Optional<PooledConnection> take(Request request, boolean mayOpen) {
    if (request.fresh()) {
      return Optional.empty();
    }
    if (request.connection() != Request.ANY_CONNECTION) {
      return takeNamed(request.connection());
    }
    Optional<PooledConnection> preferred = takeOf(request.lane() == Lane.POLL);
    if (preferred.isPresent() || (mayOpen && request.lane() != Lane.POLL)) {
      return preferred;
    }
    return takeOf(request.lane() != Lane.POLL);
  }

  private Optional<PooledConnection> takeNamed(long id) {
    return taken(idle.stream().filter(connection -> isOpenAs(connection, id)).findFirst());
  }

  private Optional<PooledConnection> takeOf(boolean usedByPoll) {
    return taken(
        idle.stream()
            .filter(connection -> connection.channel().isActive())
            .filter(connection -> (connection.lastLane() == Lane.POLL) == usedByPoll)
            .findFirst());
  }

  private Optional<PooledConnection> taken(Optional<PooledConnection> connection) {
    connection.ifPresent(this::remove);
    return connection;
  }

  private static boolean isOpenAs(PooledConnection connection, long id) {
    return connection.id() == id && connection.channel().isActive();
  }

  boolean isEmpty() {
    return idle.isEmpty();
  }

  void closeOldest() {
    idle.removeLast().close();
  }

  void closeAll() {
    while (!idle.isEmpty()) {
      idle.pop().close();
    }
  }
}
