package dev.bambootray.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.documents.ExitCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against submissions that get lost, run twice or end with the wrong exit code. */
final class SubmitVerbTest {
  private static final String VIEW =
      "{\"workspace\":\"team\",\"idempotencyKey\":\"key-1\",\"template\":\"render\","
          + "\"state\":\"%s\",\"region\":\"north\",\"durable\":true,"
          + "\"submittedAtMs\":1000000,\"deadlineAtMs\":1600000%s}";
  private static final String PENDING = VIEW.formatted("accepted", "");
  private static final String DONE = answered("{\"ran\":\"yes\",\"result\":{\"ok\":true}}");
  private static final String BUSY =
      "{\"detail\":\"not ready\",\"ran\":\"no\",\"retryable\":true,\"retryAfterMs\":2000}";

  @TempDir Path directory;
  private FakeDeployment nodes;

  private static String answered(String answer) {
    return VIEW.formatted("answered", ",\"answer\":" + answer);
  }

  @BeforeEach
  void createDeployment() {
    nodes = new FakeDeployment(directory);
  }

  private int submit(String... more) {
    List<String> arguments =
        new java.util.ArrayList<>(
            List.of("submit", "-w", "team", "--template", "render", "--node", "a:1,b:1"));
    arguments.addAll(List.of(more));
    return nodes.run(arguments.toArray(String[]::new));
  }

  @Test
  void sendsWhatTheOptionsSay() {
    nodes.reply(200, DONE);
    int code =
        submit("-p", "runMs=5", "-p", "quality=high", "--no-repeatable", "--deadline-ms", "9000");
    assertEquals(ExitCode.OK.code(), code);
    assertEquals(
        "{\"template\":\"render\",\"parameters\":{\"runMs\":5,\"quality\":\"high\"},"
            + "\"idempotencyKey\":\"key-1\",\"deadlineMs\":9000,\"repeatable\":false,"
            + "\"urgent\":false}",
        nodes.received.get(0).call().body());
    Approvals.verify(nodes.err + nodes.out);
  }

  @Test
  void readsAFileWithComments() throws IOException {
    Path file =
        Files.writeString(
            directory.resolve("r.json"),
            "{\"template\": \"plan\", // long\n \"parameters\": {\"a\": [1, \"x\"]}, \"urgent\": true}");
    nodes.reply(200, DONE);
    assertEquals(ExitCode.OK.code(), nodes.run("submit", file.toString(), "-w", "team"));
    assertTrue(nodes.received.get(0).call().body().contains("\"parameters\":{\"a\":[1,\"x\"]}"));
  }

  @Nested
  class Reconnection {
    @Test
    void goesToTheNextNodeWithTheSameKeyWhenTheConnectionIsLost() {
      nodes.lost().reply(202, PENDING).lost().reply(200, DONE);
      assertEquals(ExitCode.OK.code(), submit());
      assertEquals(
          List.of("a:1 POST", "b:1 POST", "b:1 GET", "a:1 GET"),
          nodes.calls().stream()
              .map(call -> call.replaceAll("http://(\\S+ \\S+) .*", "$1"))
              .toList());
      assertEquals(nodes.received.get(0).call().body(), nodes.received.get(1).call().body());
    }

    @Test
    void submitsAgainWhenNoNodeKnowsARequestWithoutARecord() {
      nodes.reply(202, PENDING).reply(404, "{\"detail\":\"no such request\"}").reply(200, DONE);
      assertEquals(ExitCode.OK.code(), submit());
      assertEquals("POST", nodes.received.get(2).call().method());
    }

    @Test
    void asksTheNextNodeAtOnceAndPausesOnlyAfterAllRefused() {
      nodes.reply(503, BUSY).reply(503, BUSY).reply(200, DONE);
      assertEquals(ExitCode.OK.code(), submit("--wait-ms", "100000"));
      assertEquals(
          List.of("http://a:1", "http://b:1", "http://a:1"),
          nodes.received.stream().map(FakeDeployment.Received::node).toList());
      // 30 s held by each of two calls and a pause of 2 s leave 38 s, of which 30 s are asked for.
      assertTrue(nodes.calls().get(2).endsWith("waitMs=30000"), nodes.calls().get(2));
    }

    @Test
    void endsWhenNoTimeIsLeft() {
      for (int i = 0; i < 20; i++) {
        nodes.reply(503, BUSY);
      }
      assertEquals(ExitCode.REFUSED.code(), submit("--wait-ms", "5000"));
      nodes = new FakeDeployment(directory);
      assertEquals(ExitCode.UNREACHABLE.code(), submit("--wait-ms", "5000"));
    }
  }

  @Nested
  class ExitCodes {
    @Test
    void tellAnAnswerWithAnError() {
      nodes.reply(
          200,
          answered(
              "{\"ran\":\"yes\",\"error\":{\"detail\":\"exit code 3\",\"step\":\"run\","
                  + "\"peer\":\"w1\",\"ran\":\"yes\",\"retryable\":false}}"));
      assertEquals(ExitCode.REQUEST_FAILED.code(), submit());
      assertTrue(
          nodes.out.contains("error: exit code 3, step run, peer w1, ran yes, retryable false"),
          nodes.out);
    }

    @Test
    void tellThatItIsUnknownWhetherItRan() {
      nodes.reply(200, answered("{\"ran\":\"unknown\",\"error\":{\"detail\":\"worker lost\"}}"));
      assertEquals(ExitCode.REQUEST_UNKNOWN.code(), submit());
    }

    @Test
    void tellThatThereIsNoAnswerYet() {
      nodes.reply(202, PENDING);
      assertEquals(ExitCode.NOT_ANSWERED_YET.code(), submit("--wait-ms", "10"));
      nodes.reply(202, PENDING);
      assertEquals(ExitCode.OK.code(), submit("--wait-ms", "0"));
    }

    @Test
    void tellRefusalsThatNoRetryCanChange() {
      nodes.reply(422, "{\"detail\":\"65 members\",\"step\":\"placement\",\"retryable\":false}");
      assertEquals(ExitCode.REQUEST_FAILED.code(), submit());
      nodes.reply(401, "{\"detail\":\"no valid token\"}");
      assertEquals(ExitCode.UNAUTHORIZED.code(), submit("--json"));
      assertEquals(
          "key key-1\n{\"exitCode\":12,\"kind\":\"unauthorized\",\"errors\":"
              + "[\"no valid token (status 401)\"],\"problem\":{\"detail\":\"no valid token\"}}\n",
          nodes.err);
      nodes.received.clear();
      assertEquals(ExitCode.USAGE.code(), nodes.run("submit", "-w", "team"));
      assertEquals(List.of(), nodes.calls());
    }
  }
}
