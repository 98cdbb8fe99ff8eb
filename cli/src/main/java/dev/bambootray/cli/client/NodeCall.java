package dev.bambootray.cli.client;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A call to a node.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers headers other than authorization
 * @param body the body, or null for none
 * @param waitMs how long the node may hold the answer back, in milliseconds
 */
public record NodeCall(
    String method, String path, Map<String, String> headers, @Nullable String body, long waitMs) {

  /** Copies the headers. */
  public NodeCall {
    headers = Map.copyOf(headers);
  }

  /** Returns a call that reads. */
  public static NodeCall get(String path) {
    return new NodeCall("GET", path, Map.of(), null, 0);
  }

  /** Returns a call that reads and lets the node hold the answer back. */
  public static NodeCall get(String path, long waitMs) {
    return new NodeCall("GET", path, Map.of(), null, waitMs);
  }

  /** Returns a call without a body that changes something. */
  public static NodeCall of(String method, String path) {
    return new NodeCall(method, path, Map.of(), null, 0);
  }

  /** Returns a call with a body. */
  public static NodeCall withBody(String method, String path, String body, long waitMs) {
    return new NodeCall(method, path, Map.of("Content-Type", "application/json"), body, waitMs);
  }

  /** Returns the same call with another header. */
  public NodeCall header(String name, String value) {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.put(name, value);
    return new NodeCall(method, path, all, body, waitMs);
  }
}
