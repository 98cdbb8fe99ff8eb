package dev.bambootray.cli;

import dev.bambootray.cli.client.HttpNodeClient;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against verbs that do not speak the HTTP contract, and against stale examples of them. */
final class TranscriptTest {
  private static final String DECLARATION =
      """
      {
        "regions": [{"id": "north", "failureDomains": ["north-a"]}],
        "services": [{"id": "design"}],
        "workspaces": [{"id": "care"}],
        "templates": [
          {"id": "proof", "service": "design", "shape": {"acceleratorsPerMember": 0}}
        ]
      }
      """;

  @TempDir Path directory;
  private final StringBuilder transcript = new StringBuilder();
  private final AtomicInteger keys = new AtomicInteger();

  @Test
  void everyVerbAgainstAStandIn() throws IOException {
    Files.writeString(directory.resolve("new.json"), DECLARATION);
    Files.writeString(
        directory.resolve("changed.json"),
        DECLARATION.replace("\"care\"", "\"care\", \"weight\": 2"));
    Files.writeString(
        directory.resolve("wrong.json"),
        DECLARATION
            .replace("\"design\"}", "\"design\", \"slotsPerTargt\": 8}")
            .replace("\"north-a\"", "\"north-a\", 7"));
    Files.writeString(directory.resolve("operator.token"), "t0ken\n");
    Files.writeString(directory.resolve("other.token"), "0ther");
    Files.writeString(
        directory.resolve("request.json"),
        "// One proof.\n{\"template\": \"proof\", \"parameters\": {\"runMs\": 40},"
            + " \"idempotencyKey\": \"order-7\", \"deadlineMs\": 5000}\n");
    try (StandInNode node = new StandInNode()) {
      run(node, "validate new.json");
      run(node, "validate wrong.json");
      run(node, "apply new.json --author ann");
      run(node, "diff changed.json");
      run(node, "diff new.json changed.json --json");
      run(node, "apply changed.json --expect-version 0");
      run(node, "apply changed.json");
      run(node, "get declaration --version 1");
      run(node, "get history");
      run(node, "submit request.json -w care");
      run(node, "submit --template bad-plan -p runMs=40 -w care");
      run(node, "submit --template long-plan --key plan-1 --wait-ms 0 -w care --json");
      run(node, "get request order-7 -w care");
      run(node, "get request none -w care");
      run(node, "list -w care");
      run(node, "watch -w care --rounds 1");
      run(node, "explain plan-1 -w care");
      run(node, "cancel plan-1 -w care");
      run(node, "drain worker north-r1-w1");
      run(node, "resume worker north-r1-w1");
      run(node, "drain node");
      run(node, "status");
      run(node, "status --json");
      run(node, "status --token-file request.json");
      run(node, "status --token-file other.token");
    }
    Approvals.verify(transcript.toString());
  }

  private void run(StandInNode node, String command) {
    StringWriter text = new StringWriter();
    PrintWriter out = new PrintWriter(text);
    CliEnvironment environment =
        new CliEnvironment(
            out,
            out,
            HttpNodeClient::create,
            Clock.fixed(Instant.EPOCH, ZoneOffset.UTC),
            ms -> {},
            () -> "key-" + keys.incrementAndGet(),
            Map.of(
                "BAMBOOTRAY_NODE", node.address(),
                "BAMBOOTRAY_TOKEN_FILE", directory.resolve("operator.token").toString()),
            directory);
    String located = command.replaceAll("(\\S+)\\.(json|token)\\b", directory + "/$1.$2");
    int code = Cli.run(environment, located.split(" "));
    String shown =
        text.toString().replace(directory + "/", "").replace(node.address(), "127.0.0.1:18080");
    transcript.append("$ bambootray ").append(command).append('\n');
    transcript.append(shown).append("exit code ").append(code).append("\n\n");
  }
}
