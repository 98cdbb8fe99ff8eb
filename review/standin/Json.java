import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** JSON and HTTP helpers of the stand-ins. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static JsonNode read(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }

  static JsonNode read(HttpExchange call) throws IOException {
    return read(call.getRequestBody().readAllBytes());
  }

  static void answer(HttpExchange call, int status, JsonNode body) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(body);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
    call.close();
  }

  static Map<String, String> query(HttpExchange call) {
    Map<String, String> values = new HashMap<>();
    String text = call.getRequestURI().getRawQuery();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  static HttpServer server(String host, int port) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    return server;
  }

  /** Milliseconds of the machine's steady clock, the same in all processes. */
  static long steadyMs() {
    return System.nanoTime() / 1_000_000;
  }
}
