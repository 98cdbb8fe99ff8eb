package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * A response before it is written.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body as text
 * @param headers further headers
 */
public record ApiResponse(
    int status, String contentType, String body, Map<String, String> headers) {
  private static final String JSON = "application/json";
  private static final String PROBLEM = "application/problem+json";

  /** Returns a response with a JSON body. */
  public static ApiResponse json(int status, JsonNode body) {
    return new ApiResponse(status, JSON, body.toString(), Map.of());
  }

  static ApiResponse problem(int status, JsonNode body, Map<String, String> headers) {
    return new ApiResponse(status, PROBLEM, body.toString(), headers);
  }

  /** Returns a response with a text body. */
  public static ApiResponse text(int status, String contentType, String body) {
    return new ApiResponse(status, contentType, body, Map.of());
  }

  /** Returns the same response with a further header. */
  public ApiResponse withHeader(String name, String value) {
    Map<String, String> more = new HashMap<>(headers);
    more.put(name, value);
    return new ApiResponse(status, contentType, body, Map.copyOf(more));
  }

  byte[] bodyBytes() {
    return body.getBytes(UTF_8);
  }
}
