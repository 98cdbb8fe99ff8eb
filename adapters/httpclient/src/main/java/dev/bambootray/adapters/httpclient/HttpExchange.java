package dev.bambootray.adapters.httpclient;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Types for an HTTP exchange with a peer: its request and its possible outcomes. */
public final class HttpExchange {
  private HttpExchange() {}

  /** Content of a request or response; compared by identity. */
  public static final class Body {
    private final byte[] bytes;

    /** Wraps content; the array is not copied. */
    public Body(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns the content itself. */
    public byte[] bytes() {
      return bytes;
    }
  }

  /** A class of requests with its own limit of connections to a peer. */
  public enum Lane {
    /** Tasks of service requests, which hold their connection until the task ends. */
    RUN,
    /** The long poll for events. */
    POLL,
    /** Everything else. */
    COMMAND
  }

  /**
   * A request.
   *
   * @param method HTTP method
   * @param path path and query, already encoded
   * @param headers further headers
   * @param body body, may be empty
   * @param lane lane whose limit applies
   * @param fresh whether it must not reuse a connection
   * @param connection the connection on which alone it may be sent, or {@link #ANY_CONNECTION}
   * @param tag identifies the exchange so that its connection can be closed, or null
   */
  public record Request(
      String method,
      String path,
      Map<String, String> headers,
      Body body,
      Lane lane,
      boolean fresh,
      long connection,
      @Nullable Object tag) {
    /** Identity that no connection has. */
    public static final long ANY_CONNECTION = 0;

    /** Returns a request without a body. */
    public static Request get(String path) {
      return of("GET", path, new byte[0], Lane.COMMAND);
    }

    /** Returns a request with a JSON body. */
    public static Request post(String path, byte[] body) {
      return of("POST", path, body, Lane.COMMAND);
    }

    /** Returns a request of a lane. */
    public static Request of(String method, String path, byte[] body, Lane lane) {
      return new Request(method, path, Map.of(), new Body(body), lane, false, ANY_CONNECTION, null);
    }

    /** Returns the same request with headers. */
    public Request withHeaders(Map<String, String> values) {
      return new Request(method, path, Map.copyOf(values), body, lane, fresh, connection, tag);
    }

    /** Returns the same request, to be sent on a new connection. */
    public Request onFreshConnection() {
      return new Request(method, path, headers, body, lane, true, ANY_CONNECTION, tag);
    }

    /**
     * Returns the same request, to be sent on the given connection or not at all. The exchange ends
     * as {@link NotSent} at once if that connection is closed or in use.
     *
     * @param id identity from {@link Answered}, or {@link #ANY_CONNECTION}
     */
    public Request onConnection(long id) {
      return new Request(method, path, headers, body, lane, false, id, tag);
    }
  }

  /** How an exchange ended. */
  public sealed interface Outcome {}

  /**
   * A complete response arrived.
   *
   * @param status HTTP status
   * @param body its body
   * @param connection identity of the connection over which it arrived, unique in this process
   */
  public record Answered(int status, Body body, long connection) implements Outcome {}

  /**
   * No byte of the request was written.
   *
   * @param reason what went wrong
   */
  public record NotSent(String reason) implements Outcome {}

  /**
   * The request was written at least in part and no complete response arrived.
   *
   * @param reason what went wrong
   */
  public record NoReply(String reason) implements Outcome {}
}
