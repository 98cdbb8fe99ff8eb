package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.ports.api.SubmitCommand;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.approvaltests.Approvals;

/** Guards against input that is misread, harms other callers or gets an answer without a cause. */
final class BadInputProperties {
  private static final String VALID =
      "{\"template\":\"plan\",\"parameters\":{\"a\":[1,true,null]},\"idempotencyKey\":\"k\","
          + "\"deadlineMs\":5000,\"repeatable\":true,\"urgent\":false}";
  private static final String HEAD =
      "POST /v1/workspaces/w1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token1\r\n";

  private static ServerFixture fixture;

  @BeforeContainer
  static void start() {
    fixture = new ServerFixture(null);
  }

  @AfterContainer
  static void stop() {
    fixture.close();
  }

  @Property(seed = "31", tries = 300)
  void randomBytesHarmNoOtherCaller(@ForAll byte[] bytes) throws Exception {
    fixture.exchange(bytes);
    assertEquals(200, fixture.call("GET", "/healthz", "", "").statusCode());
  }

  @Property(seed = "32", tries = 300)
  void changedRequestsNeverReachTheNodeAsSomethingElse(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    String request = HEAD + "Content-Length: " + VALID.length() + "\r\n\r\n" + VALID;
    byte[] bytes = request.getBytes(ISO_8859_1);
    for (int i = 0; i < 3; i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
    }
    fixture.api.submitted.clear();
    String reply = fixture.exchange(bytes);
    for (SubmitCommand command : fixture.api.submitted) {
      assertEquals("w1", command.key().workspace().value());
      assertTrue(reply.startsWith("HTTP/1.1 202 "), reply);
    }
  }

  @Property(seed = "33", tries = 3_000)
  void changedBodiesAreReadOrRefusedButNeverThrow(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder body = new StringBuilder(VALID);
    for (int i = 0; i < 3; i++) {
      body.setCharAt(random.nextInt(body.length()), (char) (random.nextInt(96) + 32));
    }
    Either<ApiResponse, SubmitCommand> result = read(body.toString());
    assertTrue(result.isRight() || result.getLeft().status() == 400);
  }

  @Example
  void limitsAreAnsweredWithTheirStatus() throws IOException {
    String longHeader = HEAD + "X-Long: " + "x".repeat(17_000) + "\r\n\r\n";
    String longLine = "GET /" + "x".repeat(9_000) + " HTTP/1.1\r\n\r\n";
    String largeBody = HEAD + "Content-Length: 262145\r\n\r\n";
    String largeExpected = HEAD + "Content-Length: 262145\r\nExpect: 100-continue\r\n\r\n";
    String largeChunk = HEAD + "Transfer-Encoding: chunked\r\n\r\n40001\r\n" + "x".repeat(262_145);
    for (Map.Entry<String, String> expected :
        List.of(
            Map.entry("431", longHeader),
            Map.entry("431", longLine),
            Map.entry("413", largeBody),
            Map.entry("413", largeExpected),
            Map.entry("413", largeChunk),
            Map.entry("400", "GET / HTTP/1.1\r\nbad header\r\n\r\n"),
            Map.entry("400", ServerFixture.get("/%zz")))) {
      String reply = fixture.exchange(expected.getValue().getBytes(ISO_8859_1));
      assertTrue(reply.startsWith("HTTP/1.1 " + expected.getKey() + " "), reply);
      assertTrue(reply.contains("application/problem+json"), reply);
    }
  }

  @Example
  void wrongMembersAreNamedWithWhatWasExpected() {
    List<String> bodies =
        List.of(
            "",
            "[]",
            "{",
            VALID + "x",
            VALID.replace("\"urgent\"", "\"template\""),
            VALID.replace("\"urgent\"", "\"urgnet\""),
            VALID.replace("\"plan\"", "7"),
            VALID.replace("\"plan\"", "\"a b\""),
            VALID.replace("{\"a\":[1,true,null]}", "[]"),
            VALID.replace("[1,true,null]", "[".repeat(50) + "]".repeat(50)),
            VALID.replace("\"k\"", "\"" + "k".repeat(129) + "\""),
            VALID.replace("5000", "0"),
            VALID.replace("5000", "1.5"),
            VALID.replace("5000", "99999999999999999999"),
            VALID.replace("5000", "\"5000\""),
            VALID.replace("true,\"urgent\"", "1,\"urgent\""),
            VALID.replace("false", "null"),
            VALID.replace("null", "\"" + "x".repeat(65_536) + "\""));
    StringBuilder table = new StringBuilder();
    for (String body : bodies) {
      String shown = body.length() > 100 ? body.substring(0, 100) + "..." : body;
      String outcome = read(body).fold(ApiResponse::body, command -> "accepted");
      table.append(shown).append("\n  ").append(outcome).append('\n');
    }
    Approvals.verify(table.toString());
  }

  @Example
  void errorsHaveTheirStatus() {
    StringBuilder table = new StringBuilder("step retryable submit lookup answer\n");
    for (RequestStep step : RequestStep.values()) {
      for (boolean retryable : new boolean[] {false, true}) {
        RequestError error = new RequestError(step, "p", "m", ExecutionStatus.NO, retryable, null);
        table
            .append(step + " " + retryable + " " + ErrorStatus.ofSubmit(error))
            .append(" " + ErrorStatus.ofLookup(error) + " " + ErrorStatus.ofAnswer(error) + "\n");
      }
    }
    ApiResponse refused =
        Problems.response(
            429, RequestError.notRun(RequestStep.QUEUE, "n2", "the queue is full", 1_500));
    table.append(refused.body()).append(' ').append(refused.headers()).append('\n');
    Approvals.verify(table.toString());
  }

  private static Either<ApiResponse, SubmitCommand> read(String body) {
    ApiRequest request =
        new ApiRequest(
            "POST", "/", new DefaultHttpHeaders(), List.of(), Map.of(), "", "", null, "", body);
    return SubmitReader.read(WorkspaceId.of("w1"), request, 0);
  }
}
