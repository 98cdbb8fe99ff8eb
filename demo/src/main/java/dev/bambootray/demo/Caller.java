package dev.bambootray.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.documents.RequestKind;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * One caller with one request: submits it, and on any failure goes on through another node with the
 * same idempotency key until it has its answer or the time is over.
 */
final class Caller {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** One-way latency between callers and nodes. */
  private static final long CLIENT_DELAY_MS = 3;

  private static final long RETRY_MS = 200;
  private static final long GRACE_MS = 5_000;

  private final HttpClient client;
  private final Supplier<Integer> ports;
  private final RequestKind kind;
  private final String idempotencyKey;
  private final String body;
  private final boolean claim;
  private final CompletableFuture<CallerOutcome> outcome = new CompletableFuture<>();
  private final long firstSentMs = System.currentTimeMillis();
  private long lastSentMs = firstSentMs;
  private boolean accepted;
  private boolean durable;

  private Caller(
      HttpClient client,
      Supplier<Integer> ports,
      RequestKind kind,
      String idempotencyKey,
      String parametersJson,
      boolean claim) {
    this.client = client;
    this.ports = ports;
    this.kind = kind;
    this.idempotencyKey = idempotencyKey;
    this.claim = claim;
    this.body = body(kind, idempotencyKey, parametersJson);
  }

  /** Sends a request and returns what becomes of it; the future never completes with a throw. */
  static CompletableFuture<CallerOutcome> send(
      HttpClient client,
      Supplier<Integer> ports,
      RequestKind kind,
      String idempotencyKey,
      String parametersJson,
      boolean claim) {
    Caller caller = new Caller(client, ports, kind, idempotencyKey, parametersJson, claim);
    caller.submit();
    return caller.outcome;
  }

  /** Reads the answer of a request through some node, or null if there is none. */
  static CompletableFuture<@Nullable String> readAnswer(
      HttpClient client, int port, String workspace, String idempotencyKey) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(path(port, workspace) + "/" + idempotencyKey + "?waitMs=0"))
            .timeout(Duration.ofSeconds(3))
            .header("Authorization", "Bearer demo-" + workspace)
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, failure) -> {
              JsonNode answer = failure == null ? parse(response.body()).get("answer") : null;
              return answer == null ? null : answer.toString();
            });
  }

  private void submit() {
    long nowMs = System.currentTimeMillis();
    long leftMs = firstSentMs + kind.deadlineMs() + GRACE_MS - nowMs;
    if (leftMs <= 0) {
      end(null, null, null);
      return;
    }
    lastSentMs = nowMs;
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(path(ports.get(), kind.workspace().value()) + "?waitMs=" + leftMs))
            .timeout(Duration.ofMillis(leftMs + 1_000))
            .header("Authorization", "Bearer demo-" + kind.workspace())
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    after(CLIENT_DELAY_MS)
        .execute(
            () -> {
              var unused =
                  client
                      .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                      .whenCompleteAsync(this::received, after(CLIENT_DELAY_MS));
            });
  }

  private void received(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
    if (response == null) {
      submitLater(RETRY_MS);
      return;
    }
    JsonNode json = parse(response.body());
    if (response.statusCode() == 200 || response.statusCode() == 202) {
      accepted = true;
      durable |= json.path("durable").asBoolean();
      JsonNode answer = json.get("answer");
      if (answer == null || answer.isNull()) {
        submitLater(RETRY_MS);
      } else {
        JsonNode error = answer.get("error");
        end(
            answer.path("ran").asText(),
            error == null || error.isNull() ? null : error.path("detail").asText(),
            answer.toString());
      }
      return;
    }
    refused(json);
  }

  private void refused(JsonNode problem) {
    boolean mayRetry = problem.path("retryable").asBoolean();
    long retryMs = problem.path("retryAfterMs").asLong(RETRY_MS);
    long deadlineMs = firstSentMs + kind.deadlineMs();
    if (mayRetry && System.currentTimeMillis() + retryMs < deadlineMs) {
      submitLater(retryMs);
      return;
    }
    end(problem.path("ran").asText("unknown"), problem.path("detail").asText(), null);
  }

  private void submitLater(long delayMs) {
    after(delayMs).execute(this::submit);
  }

  private void end(@Nullable String ran, @Nullable String error, @Nullable String answer) {
    outcome.complete(
        new CallerOutcome(
            kind.workspace() + "/" + idempotencyKey,
            kind.workspace().value(),
            idempotencyKey,
            kind.repeatable(),
            claim,
            firstSentMs,
            lastSentMs,
            System.currentTimeMillis(),
            accepted,
            durable,
            ran,
            error,
            answer));
  }

  private static Executor after(long delayMs) {
    return CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS);
  }

  private static String path(int port, String workspace) {
    return "http://127.0.0.1:" + port + "/v1/workspaces/" + workspace + "/requests";
  }

  private static String body(RequestKind kind, String idempotencyKey, String parametersJson) {
    ObjectNode json = JSON.createObjectNode();
    json.put("template", kind.template().value());
    json.set("parameters", parse(parametersJson));
    json.put("idempotencyKey", idempotencyKey);
    json.put("deadlineMs", kind.deadlineMs());
    json.put("repeatable", kind.repeatable());
    json.put("urgent", kind.urgent());
    return json.toString();
  }

  private static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      return JSON.createObjectNode();
    }
  }
}
