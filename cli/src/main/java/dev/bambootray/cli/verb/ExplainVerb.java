package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells why a request is where it is. */
@Command(name = "explain", description = "Tell why a request waits and what would let it start.")
public final class ExplainVerb extends WorkspaceVerb {
  @Parameters(paramLabel = "KEY", description = "The idempotency key.")
  private String key = "";

  /** Returns the verb. */
  public ExplainVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session, String requestsPath) {
    return session
        .read(NodeCall.get(requestsPath + "/" + encode(key) + "/explanation"))
        .map(
            json -> {
              console.print(json, () -> text(json));
              return ExitCode.OK;
            });
  }

  private static String text(JsonNode json) {
    List<String> lines = new ArrayList<>();
    int position = json.path("queuePosition").asInt();
    lines.add(
        json.path("state").asText() + (position > 0 ? ", position " + position + " in queue" : ""));
    lines.add("reason: " + json.path("reason").asText());
    json.path("waitsFor").forEach(item -> lines.add("waits for: " + item.asText()));
    json.path("wouldStartIf").forEach(item -> lines.add("would start if: " + item.asText()));
    long startInMs = json.path("expectedStartInMs").asLong(-1);
    lines.add("expected start: " + (startInMs < 0 ? "not known" : "in " + startInMs + " ms"));
    return String.join("\n", lines);
  }
}
