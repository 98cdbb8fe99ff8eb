package dev.bambootray.cli.verb;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.TextTable;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;

/** Shows the state of every node that is named. */
@Command(name = "status", description = "Show the state of each --node.")
public final class StatusVerb extends NodeVerb {

  /** Returns the verb. */
  public StatusVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
    ArrayNode results = JsonNodeFactory.instance.arrayNode();
    TextTable table =
        TextTable.of("ADDRESS", "NODE", "STATE", "VERSION", "STORE", "OWNS", "MEMBERS", "OPEN");
    List<CliFailure> failures = new ArrayList<>();
    for (String node : session.nodes()) {
      ObjectNode result = results.addObject().put("address", node);
      session
          .callOne(node, NodeCall.get("/v1/status"))
          .flatMap(NodeSession::body)
          .peek(status -> addRow(table, node, status))
          .peek(status -> result.set("status", status))
          .peekLeft(
              failure -> {
                failures.add(failure);
                result.put("error", failure.lines().get(0));
                table.row(node, "-", "no status", "-", "-", "-", "-", "-");
              });
    }
    console.print(results, table::render);
    return failures.isEmpty()
        ? Either.right(ExitCode.OK)
        : Either.left(
            CliFailure.of(
                failures.get(0).code(),
                failures.stream().flatMap(failure -> failure.lines().stream()).toList()));
  }

  private static void addRow(TextTable table, String address, JsonNode status) {
    List<String> owned = new ArrayList<>();
    status
        .path("owned")
        .forEach(o -> owned.add(o.path("region").asText() + "@" + o.path("epoch").asText()));
    int alive = 0;
    for (JsonNode member : status.path("members")) {
      alive += "alive".equalsIgnoreCase(member.path("status").asText()) ? 1 : 0;
    }
    table.row(
        address,
        status.path("node").asText(),
        state(status),
        status.path("configurationVersion").asText()
            + (status.path("configurationCurrent").asBoolean() ? "" : " (not current)"),
        status.path("storeAvailable").asBoolean() ? "available" : "unavailable",
        owned.isEmpty() ? "-" : String.join(" ", owned),
        alive + " of " + status.path("members").size() + " alive",
        status.path("openRequests").asText());
  }

  private static String state(JsonNode status) {
    if (status.path("draining").asBoolean()) {
      return "draining";
    }
    return status.path("ready").asBoolean()
        ? "ready"
        : "not ready: " + status.path("notReadyReason").asText();
  }
}
