package dev.bambootray.soak.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reading and writing of bodies. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a message cannot be written", e);
    }
  }

  static JsonNode read(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(
          "a node sent a body that is not JSON: " + new String(body, StandardCharsets.UTF_8), e);
    }
  }

  static JsonNode read(String body) {
    return read(body.getBytes(StandardCharsets.UTF_8));
  }
}
