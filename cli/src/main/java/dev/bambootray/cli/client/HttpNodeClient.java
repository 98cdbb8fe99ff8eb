package dev.bambootray.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import javax.net.ssl.SSLContext;
import org.jspecify.annotations.Nullable;

/** Sends calls over HTTP/1.1. */
public final class HttpNodeClient implements NodeClient {
  /** Time for a connection; a node on another region's VM answers within 40 ms. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Time for an answer beyond the time that the node may hold it back. */
  private static final long ANSWER_TIMEOUT_MS = 10_000;

  /** Longest body that is read; a declaration of 8 MiB doubles when it is quoted as JSON. */
  private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client;

  private HttpNodeClient(HttpClient client) {
    this.client = client;
  }

  /** Returns a client that trusts the given certificates, or those of the JDK if null. */
  public static HttpNodeClient create(@Nullable SSLContext sslContext) {
    HttpClient.Builder builder =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT);
    if (sslContext != null) {
      builder.sslContext(sslContext);
    }
    return new HttpNodeClient(builder.build());
  }

  @Override
  public Either<String, NodeReply> call(String node, String token, NodeCall call) {
    try {
      HttpResponse<InputStream> response =
          client.send(request(node, token, call), HttpResponse.BodyHandlers.ofInputStream());
      try (InputStream body = response.body()) {
        byte[] bytes = body.readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
          return Either.left("the answer is longer than " + MAX_BODY_BYTES + " bytes");
        }
        return Either.right(new NodeReply(response.statusCode(), parse(bytes)));
      }
    } catch (HttpTimeoutException e) {
      return Either.left("no answer in time");
    } catch (ConnectException e) {
      return Either.left("connection refused");
    } catch (IOException e) {
      return Either.left("connection lost: " + e.getMessage());
    } catch (IllegalArgumentException e) {
      // The message of the exception may hold the header with the token.
      return Either.left("not an address of a node, or a header that can't be sent");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left("interrupted");
    }
  }

  private static HttpRequest request(String node, String token, NodeCall call) {
    HttpRequest.BodyPublisher body =
        call.body() == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(call.body());
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(node + call.path()))
            .timeout(Duration.ofMillis(call.waitMs() + ANSWER_TIMEOUT_MS))
            .method(call.method(), body);
    call.headers().forEach(builder::header);
    if (!token.isEmpty()) {
      builder.header("Authorization", "Bearer " + token);
    }
    return builder.build();
  }

  private static JsonNode parse(byte[] bytes) throws IOException {
    try {
      JsonNode json = MAPPER.readTree(new String(bytes, StandardCharsets.UTF_8));
      return json == null ? MissingNode.getInstance() : json;
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }
}
