package dev.bambootray.adapters.http;

/**
 * Bounds of the HTTP server. A connection holds at most one body, one header block and {@code
 * pipelined} further requests.
 *
 * @param connections open connections; further ones are closed at once
 * @param bodyBytes largest body of a request
 * @param headerBytes largest header block of a request
 * @param lineBytes longest request line
 * @param pipelined requests that a connection may send ahead of an answer
 * @param receiveMs time for a request to arrive once it began, in milliseconds
 * @param idleMs time that a connection may be idle between requests, in milliseconds
 * @param waitMs longest wait that a caller may ask for, in milliseconds
 */
public record HttpLimits(
    int connections,
    int bodyBytes,
    int headerBytes,
    int lineBytes,
    int pipelined,
    long receiveMs,
    long idleMs,
    long waitMs) {

  /** Returns the bounds of the published interface. */
  public static HttpLimits defaults() {
    return new HttpLimits(2_048, 256 * 1024, 16 * 1024, 8 * 1024, 2, 10_000, 75_000, 300_000);
  }

  /** Returns the same bounds with another largest body. */
  public HttpLimits withBodyBytes(int value) {
    return new HttpLimits(
        connections, value, headerBytes, lineBytes, pipelined, receiveMs, idleMs, waitMs);
  }
}
