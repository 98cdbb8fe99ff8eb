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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against tables that hide a fault and against calls that go to the wrong place. */
final class ReadingVerbsTest {
  private static final String STATUS =
      """
      {"node":"n1","ready":true,"notReadyReason":"","draining":false,"configurationVersion":7,
       "configurationCurrent":true,"storeAvailable":true,
       "owned":[{"region":"north","owner":"n1","epoch":3}],
       "members":[{"node":"n1","status":"alive"},{"node":"n2","status":"dead"}],"openRequests":5}
      """;
  private static final String NOT_READY =
      """
      {"node":"n2","ready":false,"notReadyReason":"no declaration","draining":false,
       "configurationVersion":0,"configurationCurrent":false,"storeAvailable":false,"owned":[],
       "members":[],"openRequests":0}
      """;

  @TempDir Path directory;
  private FakeDeployment nodes;

  @BeforeEach
  void createDeployment() {
    nodes = new FakeDeployment(directory);
  }

  private static String page(String next, String... keys) {
    List<String> views = new java.util.ArrayList<>();
    for (String key : keys) {
      views.add(
          "{\"idempotencyKey\":\"%s\",\"template\":\"render\",\"state\":\"accepted\","
                  .formatted(key)
              + "\"region\":\"north\",\"deadlineAtMs\":1600000}");
    }
    return "{\"requests\":[" + String.join(",", views) + "],\"nextAfter\":" + next + "}";
  }

  @Test
  void statusShowsEveryNodeAndFailsIfOneGivesNone() {
    nodes.reply(200, STATUS).reply(200, NOT_READY).lost();
    int code = nodes.run("status", "--node", "a:1", "--node", "b:1", "--node", "c:1");
    assertEquals(ExitCode.UNREACHABLE.code(), code);
    Approvals.verify(nodes.out + nodes.err);
  }

  @Test
  void listFollowsPagesOnlyWhenAsked() {
    nodes.reply(200, page("\"k2\"", "k1", "k2"));
    assertEquals(0, nodes.run("list", "-w", "team", "--state", "accepted", "--limit", "2"));
    assertEquals("more requests follow: --after k2\n", nodes.err);
    assertTrue(nodes.calls().get(0).endsWith("/requests?limit=2&state=accepted"));
    nodes.reply(200, page("\"k2\"", "k1", "k2")).reply(200, page("null", "k3"));
    assertEquals(0, nodes.run("list", "-w", "team", "--all"));
    assertTrue(nodes.calls().get(2).endsWith("&after=k2"), nodes.calls().toString());
    Approvals.verify(nodes.out + nodes.err);
  }

  @Test
  void explainSaysWhatWouldLetTheRequestStart() {
    nodes.reply(
        200,
        """
        {"state":"queued","queuePosition":3,"reason":"no run of 8 adjacent accelerators is free",
         "waitsFor":["a run of 8 in rack r1"],"wouldStartIf":["team-a/k7 ends"],
         "expectedStartInMs":4000}
        """);
    assertEquals(0, nodes.run("explain", "k 1", "-w", "team"));
    assertTrue(nodes.calls().get(0).endsWith("/v1/workspaces/team/requests/k%201/explanation"));
    Approvals.verify(nodes.out);
  }

  @Test
  void watchFollowsEventsAndStartsOverOnAnotherNode() {
    String event =
        "{\"sequence\":%d,\"atMs\":1000,\"kind\":\"answered\",\"subject\":\"team/k1\","
            + "\"detail\":\"ran on w1\"}";
    nodes
        .reply(200, "{\"events\":[" + event.formatted(1) + "],\"nextAfter\":1}")
        .reply(200, page("null", "k2"))
        .reply(200, page("null"))
        .lost()
        .reply(200, "{\"events\":[],\"nextAfter\":0}")
        .reply(200, "{\"events\":[" + event.formatted(9) + "],\"nextAfter\":9}")
        .reply(200, page("null"))
        .reply(200, page("null"));
    int code = nodes.run("watch", "-w", "team", "--rounds", "3", "--node", "a:1,b:1");
    assertEquals(ExitCode.OK.code(), code);
    assertTrue(nodes.calls().get(3).endsWith("after=1&waitMs=10000"));
    assertEquals("http://b:1 GET /v1/events?after=0&waitMs=10000", nodes.calls().get(5));
    Approvals.verify(nodes.out + nodes.err);
  }

  @Test
  void drainOfANodeNeverGoesToAnotherNode() {
    assertEquals(ExitCode.USAGE.code(), nodes.run("drain", "node", "--node", "a:1,b:1"));
    assertEquals(List.of(), nodes.calls());
    nodes.reply(202, "{}").reply(202, "{}");
    assertEquals(0, nodes.run("drain", "node", "--node", "a:1"));
    assertEquals(0, nodes.run("resume", "worker", "w1", "--node", "a:1"));
    assertEquals(
        List.of("http://a:1 POST /v1/node/drain", "http://a:1 POST /v1/workers/w1/resume"),
        nodes.calls());
  }

  @Test
  void optionsComeBeforeVariablesAndVariablesBeforeTheFile() throws IOException {
    Files.writeString(directory.resolve("file.token"), "from-file\n");
    Path config =
        Files.writeString(
            directory.resolve("cli.json"),
            "{\"nodes\": [\"file:1\"], \"tokenFile\": \"file.token\", \"workspace\": \"fw\"}");
    nodes.variables.put("BAMBOOTRAY_CONFIG", config.toString());
    nodes.run("explain", "k");
    nodes.variables.put("BAMBOOTRAY_NODE", "https://variable:1/");
    nodes.variables.put("BAMBOOTRAY_WORKSPACE", "vw");
    nodes.run("explain", "k");
    nodes.run("explain", "k", "--node", "option:1", "-w", "ow");
    assertEquals(
        List.of(
            "http://file:1 GET /v1/workspaces/fw/requests/k/explanation",
            "https://variable:1 GET /v1/workspaces/vw/requests/k/explanation",
            "http://option:1 GET /v1/workspaces/ow/requests/k/explanation"),
        nodes.calls());
    assertEquals("from-file", nodes.received.get(0).token());
    Files.writeString(config, "{\"node\": \"a:1\"}");
    assertEquals(ExitCode.INVALID_SETTINGS.code(), nodes.run("explain", "k", "-w", "w"));
    assertTrue(nodes.err.contains("node: found an unknown key, expected \"nodes\""), nodes.err);
  }

  @Test
  void everyVerbOffersJsonAndCompletion() {
    assertEquals(0, nodes.run("completion"));
    for (String verb :
        List.of(
            "validate",
            "diff",
            "apply",
            "list",
            "watch",
            "explain",
            "submit",
            "cancel",
            "status",
            "completion")) {
      assertEquals(0, nodes.run(verb, "--help"));
      assertTrue(nodes.out.contains("--json"), verb);
    }
    assertEquals(ExitCode.USAGE.code(), nodes.run("aply"));
    assertTrue(nodes.err.contains("apply"), nodes.err);
  }
}
