package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.RequestText;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows live what completes and what waits. */
@Command(
    name = "watch",
    description = {
      "Show events as they happen, and what waits in a workspace.",
      "Runs until it is interrupted, unless --rounds is given."
    })
public final class WatchVerb extends NodeVerb {
  private static final long EVENT_WAIT_MS = 10_000;
  private static final int SHOWN_KEYS = 5;

  @Option(
      names = {"-w", "--workspace"},
      paramLabel = "WORKSPACE",
      description = "Also show the requests of this workspace that wait.")
  private @Nullable String workspace;

  @Option(
      names = "--rounds",
      paramLabel = "N",
      defaultValue = "0",
      description = "Stop after reading events N times; 0 for no end.")
  private int rounds;

  /** Returns the verb. */
  public WatchVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
    long after = 0;
    String node = session.currentNode();
    for (int round = 0; rounds == 0 || round < rounds; round++) {
      long waitMs = round == 0 ? 0 : EVENT_WAIT_MS;
      Either<CliFailure, JsonNode> page =
          session.read(NodeCall.get("/v1/events?after=" + after + "&waitMs=" + waitMs, waitMs));
      if (page.isLeft()) {
        return Either.left(page.getLeft());
      }
      if (!session.currentNode().equals(node)) {
        // Sequence numbers belong to one node; another one counts its own events.
        console.note(node + " can't be reached; watching " + session.currentNode());
        node = session.currentNode();
        after = 0;
        continue;
      }
      page.get().path("events").forEach(event -> console.print(event, () -> line(event)));
      after = page.get().path("nextAfter").asLong(after);
      Optional<CliFailure> failure = printWaiting(console, session);
      if (failure.isPresent()) {
        return Either.left(failure.get());
      }
    }
    return Either.right(ExitCode.OK);
  }

  private static String line(JsonNode event) {
    return String.format(
        "%s  %-10s %s  %s",
        RequestText.time(event.path("atMs")),
        event.path("kind").asText(),
        event.path("subject").asText(),
        event.path("detail").asText());
  }

  private Optional<CliFailure> printWaiting(Console console, NodeSession session) {
    if (workspace == null) {
      return Optional.empty();
    }
    List<String> keys = new ArrayList<>();
    boolean more = false;
    for (String state : List.of("accepted", "intent")) {
      String path =
          "/v1/workspaces/" + encode(workspace) + "/requests?state=" + state + "&limit=500";
      Either<CliFailure, JsonNode> page = session.read(NodeCall.get(path));
      if (page.isLeft()) {
        return Optional.of(page.getLeft());
      }
      page.get().path("requests").forEach(view -> keys.add(RequestText.key(view)));
      more |= page.get().hasNonNull("nextAfter");
    }
    String shown = String.join(", ", keys.subList(0, Math.min(SHOWN_KEYS, keys.size())));
    String dots = keys.size() > SHOWN_KEYS ? ", ..." : "";
    console.note(
        "unanswered in "
            + workspace
            + ": "
            + keys.size()
            + (more ? " or more" : "")
            + (keys.isEmpty() ? "" : " (" + shown + dots + ")"));
    return Optional.empty();
  }
}
