package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.RequestText;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists requests of a workspace in pages. */
@Command(name = "list", description = "List requests of a workspace, ordered by key, in pages.")
public final class ListVerb extends WorkspaceVerb {
  /** States to filter by. */
  enum State {
    /** Accepted; no attempt is recorded. */
    ACCEPTED,
    /** The intent to run it is recorded. */
    INTENT,
    /** It has its final answer. */
    ANSWERED
  }

  @Option(names = "--state", description = "Only requests in this state: ${COMPLETION-CANDIDATES}.")
  private @Nullable State state;

  @Option(names = "--template", paramLabel = "T", description = "Only requests of this template.")
  private @Nullable String template;

  @Option(names = "--after", paramLabel = "KEY", description = "Continue after this key.")
  private @Nullable String after;

  @Option(
      names = "--limit",
      paramLabel = "N",
      defaultValue = "100",
      description = "Most requests of a page, 1 to 500; default 100.")
  private int limit;

  @Option(names = "--all", description = "Follow the pages to the end.")
  private boolean all;

  /** Returns the verb. */
  public ListVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session, String requestsPath) {
    ArrayNode requests = JsonNodeFactory.instance.arrayNode();
    String next = after;
    do {
      Either<CliFailure, JsonNode> page = session.read(NodeCall.get(requestsPath + query(next)));
      if (page.isLeft()) {
        return Either.left(page.getLeft());
      }
      page.get().path("requests").forEach(requests::add);
      next = page.get().path("nextAfter").asText("");
    } while (all && !next.isEmpty());
    print(console, requests, next);
    return Either.right(ExitCode.OK);
  }

  private String query(@Nullable String next) {
    StringBuilder query = new StringBuilder("?limit=").append(limit);
    if (state != null) {
      query.append("&state=").append(state.name().toLowerCase(Locale.ROOT));
    }
    if (template != null) {
      query.append("&template=").append(encode(template));
    }
    if (next != null && !next.isEmpty()) {
      query.append("&after=").append(encode(next));
    }
    return query.toString();
  }

  private static void print(Console console, ArrayNode requests, String next) {
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.set("requests", requests);
    if (!next.isEmpty()) {
      result.put("nextAfter", next);
    }
    console.print(result, () -> RequestText.table(requests));
    if (!next.isEmpty() && !console.isJson()) {
      console.note("more requests follow: --after " + next);
    }
  }
}
