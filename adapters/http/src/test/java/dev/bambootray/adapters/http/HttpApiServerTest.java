package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.ports.api.DeclarationText;
import dev.bambootray.ports.api.PublishResult;
import dev.bambootray.ports.api.SubmitCommand;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Drives the server over loopback; the timeout only ends a test that would hang. */
@Timeout(60)
final class HttpApiServerTest {
  private static final String REQUESTS = "/v1/workspaces/w1/requests";
  private static final String BODY =
      "{\"template\":\"plan\",\"parameters\":{\"a\":1.50},\"idempotencyKey\":\"k\","
          + "\"deadlineMs\":5000}";
  private static final String TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

  private final ServerFixture fixture = new ServerFixture(null);
  private final RecordingApi api = fixture.api;

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Nested
  final class Calls {
    @Test
    void aSubmissionReachesTheNodeAsItWasSent() throws Exception {
      var request = fixture.request("POST", REQUESTS + "?waitMs=7", "token1", BODY);
      HttpResponse<String> response = fixture.send(request.header("traceparent", TRACE));
      assertEquals(202, response.statusCode());
      assertEquals(TRACE, response.headers().firstValue("traceparent").orElse(""));
      assertEquals(
          new SubmitCommand(
              RequestKey.of("w1", "k"),
              dev.bambootray.core.model.TemplateId.of("plan"),
              "{\"a\":1.50}",
              5_000,
              null,
              false,
              TRACE,
              7),
          api.submitted.take());
    }

    @Test
    void anAnswerCarriesTheWholeResult() throws Exception {
      String result = "{\"text\":\"" + "x".repeat(60_000) + "\",\"n\":12345678901234567890}";
      api.submitResult =
          Either.right(RecordingApi.view("k", Answer.success(RequestKey.of("w1", "k"), result)));
      HttpResponse<String> response = fixture.call("POST", REQUESTS, "token1", BODY);
      assertEquals(200, response.statusCode());
      assertTrue(response.body().contains("\"answer\":{\"ran\":\"yes\",\"result\":" + result));
    }

    @Test
    void listingsPassTheirFilters() throws Exception {
      String query = "?state=answered&template=plan&after=a&limit=5";
      String body = fixture.call("GET", REQUESTS + query, "token1", "").body();
      assertTrue(body.contains("\"nextAfter\":\"k\""));
      assertEquals(
          "list ListQuery[workspace=w1, state=ANSWERED, template=plan, afterKey=a, limit=5]",
          api.calls.take());
    }

    @Test
    void publishingReportsEachOutcome() throws Exception {
      assertEquals(200, publish().statusCode());
      assertEquals("publish 1 {/*c*/} ann", api.calls.take());
      api.publishResult = new PublishResult.Committed(3, List.of("n2"));
      assertEquals("{\"version\":3,\"accepted\":false,\"missing\":[\"n2\"]}", publish().body());
      api.publishResult = new PublishResult.LostRace(new DeclarationText(4, "{}", 5, "bob"));
      HttpResponse<String> raced = publish();
      assertEquals(412, raced.statusCode());
      assertTrue(raced.body().contains("\"current\":{\"version\":4"));
      api.publishResult = new PublishResult.Invalid(List.of("line 1"));
      HttpResponse<String> invalid = publish();
      assertEquals(422, invalid.statusCode());
      assertTrue(invalid.body().contains("\"problems\":[\"line 1\"]"));
    }

    @Test
    void operatorCallsAnswer() throws Exception {
      for (String path :
          List.of(
              "/v1/declaration",
              "/v1/declaration/history",
              "/v1/declaration/history/1",
              "/v1/status",
              "/v1/events?after=7&waitMs=0")) {
        assertEquals(200, fixture.call("GET", path, "root", "").statusCode(), path);
      }
      assertEquals(404, fixture.call("GET", "/v1/declaration/history/9", "root", "").statusCode());
      assertEquals(202, fixture.call("POST", "/v1/node/drain", "root", "").statusCode());
      assertEquals(202, fixture.call("POST", "/v1/workers/a/resume", "root", "").statusCode());
      assertEquals("events 7 0", api.calls.take());
      assertEquals("drain a false", api.calls.take());
    }

    @Test
    void probesNeedNoToken() throws Exception {
      assertEquals("up 1\n", fixture.call("GET", "/metrics", "", "").body());
      assertEquals(200, fixture.call("GET", "/readyz", "", "").statusCode());
      fixture.notReady = "no declaration";
      HttpResponse<String> notReady = fixture.call("GET", "/readyz", "", "");
      assertEquals(503, notReady.statusCode());
      assertEquals("no declaration\n", notReady.body());
      assertEquals(200, fixture.call("GET", "/healthz", "", "").statusCode());
    }

    private HttpResponse<String> publish() throws Exception {
      var request = fixture.request("PUT", "/v1/declaration", "root", "{/*c*/}");
      return fixture.send(request.header("If-Match", "\"1\"").header("X-Author", "ann"));
    }
  }

  @Nested
  final class Access {
    @Test
    void workspacesCannotSeeEachOther() throws Exception {
      assertEquals(401, fixture.call("GET", REQUESTS, "wrong", "").statusCode());
      assertEquals(401, fixture.call("GET", REQUESTS, "", "").statusCode());
      for (String path : List.of("", "/k", "/k/explanation")) {
        String other = "/v1/workspaces/w2/requests" + path;
        assertEquals(403, fixture.call("GET", other, "token1", "").statusCode(), other);
      }
      assertEquals(
          403, fixture.call("POST", "/v1/workspaces/w2/requests", "token1", BODY).statusCode());
      assertEquals(403, fixture.call("GET", "/v1/status", "token1", "").statusCode());
      assertEquals(List.of(), List.copyOf(api.calls));
      assertEquals(List.of(), List.copyOf(api.submitted));
    }

    @Test
    void unknownCallsAndMethodsAreRefused() throws Exception {
      for (String path : List.of("/", "/v2/x", "/v1", "/v1/", "/v1/node/stop", "/v1/workspaces")) {
        assertEquals(404, fixture.call("GET", path, "root", "").statusCode(), path);
      }
      assertEquals(405, fixture.call("PUT", REQUESTS, "token1", "").statusCode());
    }
  }

  @Nested
  final class Connections {
    @Test
    void answersOfOneConnectionComeInTheOrderOfItsRequests() throws Exception {
      api.pendingRead("c").complete(Either.right(RecordingApi.view("c", null)));
      api.pendingRead("b").complete(Either.right(RecordingApi.view("b", null)));
      try (Socket socket = fixture.connect()) {
        String requests =
            ServerFixture.get(REQUESTS + "/a")
                + ServerFixture.get(REQUESTS + "/b")
                + ServerFixture.get(REQUESTS + "/c");
        socket.getOutputStream().write(requests.getBytes(ISO_8859_1));
        assertEquals("read w1/a 0", api.calls.take());
        api.pendingRead("a").complete(Either.right(RecordingApi.view("a", null)));
        for (String key : List.of("a", "b", "c")) {
          String body = ServerFixture.readBody(socket.getInputStream());
          assertTrue(body.contains("\"idempotencyKey\":\"" + key + "\""), body);
        }
      }
    }

    @Test
    void aBodyThatIsTooLargeIsNotTakenForTheAnswerOfAnEarlierRequest() throws Exception {
      try (Socket socket = fixture.connect()) {
        String large =
            "POST " + REQUESTS + " HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n";
        socket
            .getOutputStream()
            .write((ServerFixture.get(REQUESTS + "/a") + large).getBytes(ISO_8859_1));
        assertEquals("read w1/a 0", api.calls.take());
        api.pendingRead("a").complete(Either.right(RecordingApi.view("a", null)));
        assertTrue(ServerFixture.readBody(socket.getInputStream()).contains("\"durable\""));
        assertTrue(ServerFixture.readBody(socket.getInputStream()).contains("\"status\":413"));
      }
    }

    @Test
    void aCallerThatDisconnectsEndsItsWait() throws Exception {
      CompletableFuture<Boolean> cancelled = new CompletableFuture<>();
      var pending = api.pendingRead("a");
      var unused =
          pending.whenComplete((view, failure) -> cancelled.complete(pending.isCancelled()));
      try (Socket socket = fixture.connect()) {
        socket
            .getOutputStream()
            .write(ServerFixture.get(REQUESTS + "/a?waitMs=60000").getBytes(ISO_8859_1));
        assertEquals("read w1/a 60000", api.calls.take());
      }
      assertTrue(cancelled.get());
    }

    @Test
    void aGracefulStopFinishesTheRequestInProgress() throws Exception {
      try (Socket busy = fixture.connect();
          Socket idle = fixture.connect()) {
        busy.getOutputStream().write(ServerFixture.get(REQUESTS + "/a").getBytes(ISO_8859_1));
        api.calls.take();
        CompletableFuture<Boolean> stopped = fixture.server.stop(3_600_000);
        assertEquals(-1, idle.getInputStream().read());
        assertFalse(stopped.isDone());
        assertFalse(isServed());
        api.pendingRead("a").complete(Either.right(RecordingApi.view("a", null)));
        assertTrue(ServerFixture.readBody(busy.getInputStream()).contains("\"durable\""));
        assertEquals(-1, busy.getInputStream().read());
        assertTrue(stopped.get());
      }
    }

    /** A request and the close of its idle connection may cross on their way. */
    @Test
    void aStopAnswersOnIdleConnectionsOnceMoreBeforeItClosesThem() throws Exception {
      try (Socket idle = fixture.connect()) {
        CompletableFuture<Boolean> stopped = fixture.server.stop(3_600_000, 3_600_000);
        try (Socket late = fixture.connect()) {
          for (Socket socket : List.of(idle, late)) {
            socket.getOutputStream().write(ServerFixture.get("/healthz").getBytes(ISO_8859_1));
            assertEquals("ok\n", ServerFixture.readBody(socket.getInputStream()));
            assertEquals(-1, socket.getInputStream().read());
          }
        }
        assertFalse(stopped.isDone());
      }
    }

    /** A node that is held up reads late, and a stop must not overtake the read. */
    @Test
    void aStopAnswersRequestsThatArrivedBeforeTheyWereRead() throws Exception {
      try (Socket idle = fixture.connect()) {
        idle.getOutputStream().write(ServerFixture.get("/healthz").getBytes(ISO_8859_1));
        ServerFixture.readBody(idle.getInputStream());
        CompletableFuture<Boolean> stopped;
        try (HeldLoops held = HeldLoops.hold(fixture.group);
            Socket unaccepted = fixture.connect()) {
          idle.getOutputStream().write(ServerFixture.get("/healthz").getBytes(ISO_8859_1));
          unaccepted.getOutputStream().write(ServerFixture.get("/healthz").getBytes(ISO_8859_1));
          stopped = fixture.server.stop(0, 3_600_000);
          held.release();
          assertEquals("ok\n", ServerFixture.readBody(unaccepted.getInputStream()));
          assertEquals(-1, unaccepted.getInputStream().read());
        }
        assertEquals("ok\n", ServerFixture.readBody(idle.getInputStream()));
        assertEquals(-1, idle.getInputStream().read());
        assertTrue(stopped.get());
      }
    }

    /** The body of a request may be on its way while its connection looks idle. */
    @Test
    void aStopWaitsForARequestThatHasBegunToArrive() throws Exception {
      try (Socket slow = fixture.connect();
          Socket idle = fixture.connect();
          Socket idleToo = fixture.connect()) {
        String head =
            "POST /v1/node/drain HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer root\r\n"
                + "Content-Length: 4\r\n\r\n{ ";
        slow.getOutputStream().write((ServerFixture.get("/healthz") + head).getBytes(ISO_8859_1));
        ServerFixture.readBody(slow.getInputStream());
        CompletableFuture<Boolean> stopped = fixture.server.stop(3_600_000);
        assertEquals(-1, idle.getInputStream().read());
        assertEquals(-1, idleToo.getInputStream().read());
        slow.getOutputStream().write(" }".getBytes(ISO_8859_1));
        assertEquals("{\"draining\":true}", ServerFixture.readBody(slow.getInputStream()));
        assertEquals(-1, slow.getInputStream().read());
        assertTrue(stopped.get());
      }
    }

    /**
     * Returns whether a new connection gets any byte of an answer. The kernel may still complete
     * the handshake of a connection that nobody accepts any more, and resets it later.
     */
    private boolean isServed() {
      try (Socket late = fixture.connect()) {
        late.getOutputStream().write(ServerFixture.get("/healthz").getBytes(ISO_8859_1));
        return late.getInputStream().read() >= 0;
      } catch (IOException e) {
        return false;
      }
    }

    @Test
    void aFaultOfTheNodeIsAnsweredWithoutItsMessage() throws Exception {
      api.pendingRead("a").completeExceptionally(new IllegalStateException("secret"));
      HttpResponse<String> response = fixture.call("GET", REQUESTS + "/a", "token1", "");
      assertEquals(500, response.statusCode());
      assertFalse(response.body().contains("secret"));
    }
  }
}
