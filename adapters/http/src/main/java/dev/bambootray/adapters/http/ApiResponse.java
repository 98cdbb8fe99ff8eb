package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * A response before it is written.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body as text
 * @param headers further headers
 */
record ApiResponse(int status, String contentType, String body, Map<String, String> headers) {
  private static final String JSON = "application/json";
  private static final String PROBLEM = "application/problem+json";

  static ApiResponse json(int status, JsonNode body) {
    return new ApiResponse(status, JSON, body.toString(), Map.of());
  }

  static ApiResponse problem(int status, JsonNode body, Map<String, String> headers) {
    return new ApiResponse(status, PROBLEM, body.toString(), headers);
  }

  static ApiResponse text(int status, String contentType, String body) {
    return new ApiResponse(status, contentType, body, Map.of());
  }

  byte[] bodyBytes() {
    return body.getBytes(UTF_8);
  }
}
