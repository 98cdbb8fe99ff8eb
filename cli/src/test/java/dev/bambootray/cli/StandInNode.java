package dev.bambootray.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A node that speaks docs/reference/http-api.md from memory, on loopback. Requests of the template
 * {@code long-plan} stay unanswered, those of {@code bad-plan} fail.
 */
final class StandInNode implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final long NOW_MS = 1_800_000_000_000L;

  private final HttpServer server;
  private final List<String> texts = new ArrayList<>(List.of(""));
  private final Map<String, ObjectNode> requests = new TreeMap<>();
  private final ArrayNode events = JSON.arrayNode();
  private boolean draining;

  StandInNode() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  /** What a call is answered with. */
  private record Reply(int status, JsonNode body) {}

  private synchronized void handle(HttpExchange exchange) throws IOException {
    Reply reply =
        "Bearer t0ken".equals(exchange.getRequestHeaders().getFirst("Authorization"))
            ? answer(exchange)
            : problem(401, "authentication", "no valid token");
    byte[] bytes = MAPPER.writeValueAsBytes(reply.body());
    exchange.sendResponseHeaders(reply.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private Reply answer(HttpExchange exchange) throws IOException {
    URI uri = exchange.getRequestURI();
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String path = uri.getPath();
    String call = exchange.getRequestMethod() + " " + path;
    if (path.startsWith("/v1/workspaces/care/requests")) {
      String rest = path.substring("/v1/workspaces/care/requests".length());
      return requests(exchange.getRequestMethod(), rest, uri.getQuery(), body);
    }
    if (path.startsWith("/v1/declaration/history/")) {
      return new Reply(200, version(Integer.parseInt(path.replaceAll(".*/", ""))));
    }
    if (path.startsWith("/v1/workers/")) {
      return path.startsWith("/v1/workers/north-r1-w1/")
          ? new Reply(202, JSON.objectNode())
          : problem(404, "admission", "no such worker");
    }
    return switch (call) {
      case "PUT /v1/declaration" ->
          publish(Integer.parseInt(exchange.getRequestHeaders().getFirst("If-Match")), body);
      case "GET /v1/declaration" -> new Reply(200, version(texts.size() - 1));
      case "GET /v1/declaration/history" ->
          new Reply(200, JSON.objectNode().set("history", history()));
      case "GET /v1/status" -> new Reply(200, status());
      case "GET /v1/events" ->
          new Reply(200, JSON.objectNode().put("nextAfter", events.size()).set("events", events));
      case "POST /v1/node/drain" -> {
        draining = true;
        yield new Reply(202, JSON.objectNode());
      }
      default -> problem(404, "admission", "no such call");
    };
  }

  private Reply publish(int expected, String text) {
    if (expected != texts.size() - 1) {
      return new Reply(412, JSON.objectNode().set("current", version(texts.size() - 1)));
    }
    texts.add(text);
    return new Reply(200, JSON.objectNode().put("version", texts.size() - 1).put("accepted", true));
  }

  private ObjectNode version(int number) {
    return JSON.objectNode()
        .put("version", number)
        .put("text", texts.get(number))
        .put("publishedAtMs", NOW_MS + number)
        .put("author", "ann");
  }

  private ArrayNode history() {
    ArrayNode history = JSON.arrayNode();
    for (int number = texts.size() - 1; number > 0; number--) {
      history.add(version(number));
    }
    return history;
  }

  private Reply requests(String method, String rest, String query, String body) throws IOException {
    if (method.equals("POST")) {
      return submit(MAPPER.readTree(body));
    }
    if (rest.isEmpty()) {
      ObjectNode page = JSON.objectNode().putNull("nextAfter");
      ArrayNode matching = page.putArray("requests");
      for (ObjectNode view : requests.values()) {
        if (!query.contains("state=") || query.contains("state=" + view.get("state").asText())) {
          matching.add(view);
        }
      }
      return new Reply(200, page);
    }
    String key = rest.substring(1).replace("/explanation", "");
    ObjectNode view = requests.get(key);
    if (view == null) {
      return problem(404, "record", "no such request");
    }
    if (rest.endsWith("/explanation")) {
      ObjectNode explanation = JSON.objectNode().put("state", "queued").put("queuePosition", 1);
      explanation.put("reason", "no 8 adjacent workers of a rack are free");
      explanation.putArray("waitsFor").add("care/k0 on north-r1-w3");
      explanation.putArray("wouldStartIf").add("care/k0 ends");
      return new Reply(200, explanation.put("expectedStartInMs", 4_000));
    }
    if (method.equals("DELETE") && !view.has("answer")) {
      answer(view, "no", problem(409, "queue", "cancelled by the caller").body());
    }
    return new Reply(200, view);
  }

  private Reply submit(JsonNode body) {
    String key = body.path("idempotencyKey").asText();
    ObjectNode known = requests.get(key);
    if (known != null) {
      return new Reply(known.has("answer") ? 200 : 202, known);
    }
    String template = body.path("template").asText();
    ObjectNode view =
        JSON.objectNode()
            .put("workspace", "care")
            .put("idempotencyKey", key)
            .put("template", template)
            .put("state", "accepted")
            .put("region", "north")
            .put("durable", true)
            .put("submittedAtMs", NOW_MS)
            .put("deadlineAtMs", NOW_MS + body.path("deadlineMs").asLong());
    requests.put(key, view);
    if (template.equals("long-plan")) {
      return new Reply(202, view);
    }
    JsonNode error =
        template.equals("bad-plan") ? problem(500, "run", "task ended with code 3").body() : null;
    answer(view, "yes", error);
    events
        .addObject()
        .put("sequence", events.size())
        .put("atMs", NOW_MS)
        .put("kind", "answered")
        .put("subject", "care/" + key)
        .put("detail", error == null ? "ran on north-r1-w1" : "failed on north-r1-w1");
    return new Reply(200, view);
  }

  private static void answer(ObjectNode view, String ran, JsonNode error) {
    ObjectNode answer = view.put("state", "answered").putObject("answer").put("ran", ran);
    if (error == null) {
      answer.putObject("result").put("pages", 3);
    } else {
      answer.set("error", error);
    }
  }

  private ObjectNode status() {
    ObjectNode status = JSON.objectNode().put("node", "north-1").put("ready", !draining);
    status.put("notReadyReason", "").put("draining", draining);
    status.put("configurationVersion", texts.size() - 1).put("configurationCurrent", true);
    status.put("storeAvailable", true).put("openRequests", 0);
    status.putArray("owned").addObject().put("region", "north").put("epoch", 3);
    status.putArray("members").addObject().put("node", "north-1").put("status", "alive");
    return status;
  }

  private static Reply problem(int status, String step, String detail) {
    return new Reply(
        status,
        JSON.objectNode()
            .put("status", status)
            .put("detail", detail)
            .put("step", step)
            .put("peer", "north-1")
            .put("ran", step.equals("run") ? "yes" : "no")
            .put("retryable", false));
  }
}
