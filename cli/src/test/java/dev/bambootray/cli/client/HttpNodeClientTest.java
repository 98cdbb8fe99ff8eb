package dev.bambootray.cli.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that leave out a header or turn a lost connection into an exception. */
final class HttpNodeClientTest {
  private final HttpNodeClient client = HttpNodeClient.create(null);
  private final List<String> received = new ArrayList<>();
  private HttpServer server;
  private String reply = "{\"version\":3}";

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          received.add(
              exchange.getRequestMethod()
                  + " "
                  + exchange.getRequestURI()
                  + " "
                  + exchange.getRequestHeaders().getFirst("Authorization")
                  + " "
                  + exchange.getRequestHeaders().getFirst("If-Match")
                  + " "
                  + new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
          byte[] bytes = reply.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(412, bytes.length == 0 ? -1 : bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  private String url() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  @Test
  void sendsMethodPathHeadersAndBody() {
    NodeCall call = NodeCall.withBody("PUT", "/v1/declaration", "{}", 0).header("If-Match", "2");
    NodeReply got = client.call(url(), "secret", call).get();
    assertEquals(List.of("PUT /v1/declaration Bearer secret 2 {}"), received);
    assertEquals(412, got.status());
    assertEquals(3, got.json().path("version").asInt());
  }

  @Test
  void aBodyThatIsNotJsonIsMissing() {
    reply = "<html>";
    assertTrue(client.call(url(), "", NodeCall.get("/")).get().json().isMissingNode());
    reply = "";
    assertTrue(client.call(url(), "", NodeCall.get("/")).get().json().isMissingNode());
  }

  @Test
  void faultsOfTheConnectionAreSentences() throws IOException {
    int port;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = closed.getLocalPort();
    }
    assertEquals(
        "connection refused",
        client.call("http://127.0.0.1:" + port, "", NodeCall.get("/")).getLeft());
    assertTrue(
        client.call("ht tp://x", "", NodeCall.get("/")).getLeft().startsWith("not an address"));
  }

  @Test
  void aTokenThatCannotBeSentIsNotShown() {
    String error = client.call(url(), "secret\nbreak", NodeCall.get("/")).getLeft();
    assertEquals("not an address of a node, or a header that can't be sent", error);
  }
}
