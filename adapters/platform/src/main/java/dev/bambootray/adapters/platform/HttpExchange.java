package dev.bambootray.adapters.platform;

import org.jspecify.annotations.Nullable;

/** A request to a peer and the possible ends of its exchange. */
final class HttpExchange {
  private HttpExchange() {}

  /** Content of a request or response; compared by identity. */
  static final class Body {
    private final byte[] bytes;

    Body(byte[] bytes) {
      this.bytes = bytes;
    }

    byte[] bytes() {
      return bytes;
    }
  }

  /** Share of a peer's connections that a request counts against. */
  enum Lane {
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
   * @param body body, may be empty
   * @param lane lane that it counts against
   * @param fresh whether it must not reuse a connection
   * @param tag names the exchange so that its connection can be closed, or null
   */
  record Request(
      String method, String path, Body body, Lane lane, boolean fresh, @Nullable Object tag) {

    static Request get(String path) {
      return new Request("GET", path, new Body(new byte[0]), Lane.COMMAND, false, null);
    }

    static Request post(String path, byte[] body) {
      return new Request("POST", path, new Body(body), Lane.COMMAND, false, null);
    }

    Request onFreshConnection() {
      return new Request(method, path, body, lane, true, tag);
    }
  }

  /** How an exchange ended. */
  sealed interface Outcome {}

  /**
   * A whole response arrived.
   *
   * @param status HTTP status
   * @param body its body
   */
  record Answered(int status, Body body) implements Outcome {}

  /**
   * No byte of the request was written.
   *
   * @param reason what went wrong
   */
  record NotSent(String reason) implements Outcome {}

  /**
   * The request was written at least in part and no whole response arrived.
   *
   * @param reason what went wrong
   */
  record NoReply(String reason) implements Outcome {}
}
