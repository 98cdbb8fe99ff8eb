package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.RequestText;
import dev.bambootray.cli.output.TextTable;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reads a declaration, a request or the history of declarations. */
@Command(name = "get", description = "Read a declaration, a request or the history.")
public final class GetVerb {
  private GetVerb() {}

  /** Returns the verb with its nouns. */
  public static CommandLine create(CliEnvironment environment) {
    return new CommandLine(new GetVerb())
        .addSubcommand(new OfDeclaration(environment))
        .addSubcommand(new OfRequest(environment))
        .addSubcommand(new OfHistory(environment));
  }

  @Command(name = "declaration", description = "Print the running declaration or a former one.")
  private static final class OfDeclaration extends NodeVerb {
    @Option(names = "--version", paramLabel = "N", description = "The version to print.")
    private @Nullable Long version;

    OfDeclaration(CliEnvironment environment) {
      super(environment);
    }

    @Override
    Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
      String path = version == null ? "/v1/declaration" : "/v1/declaration/history/" + version;
      return session
          .read(NodeCall.get(path))
          .map(
              json -> {
                console.print(json, () -> json.path("text").asText().stripTrailing());
                return ExitCode.OK;
              });
    }
  }

  @Command(name = "request", description = "Print a request; can wait for its answer.")
  private static final class OfRequest extends WorkspaceVerb {
    @Parameters(paramLabel = "KEY", description = "The idempotency key.")
    private String key = "";

    @Option(
        names = "--wait-ms",
        paramLabel = "MS",
        defaultValue = "0",
        description = "How long to wait for the answer, in milliseconds; default 0.")
    private long waitMs;

    OfRequest(CliEnvironment environment) {
      super(environment);
    }

    @Override
    Either<CliFailure, ExitCode> run(Console console, NodeSession session, String requestsPath) {
      String path = requestsPath + "/" + encode(key) + "?waitMs=" + waitMs;
      return session
          .read(NodeCall.get(path, waitMs))
          .map(
              view -> {
                console.print(view, () -> RequestText.details(view));
                return waitMs > 0 || RequestText.isAnswered(view)
                    ? RequestText.exitCode(view)
                    : ExitCode.OK;
              });
    }
  }

  @Command(name = "history", description = "List former declarations, newest first.")
  private static final class OfHistory extends NodeVerb {
    @Option(
        names = "--limit",
        paramLabel = "N",
        defaultValue = "20",
        description = "Most versions to list; default 20.")
    private int limit;

    OfHistory(CliEnvironment environment) {
      super(environment);
    }

    @Override
    Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
      return session
          .read(NodeCall.get("/v1/declaration/history?limit=" + limit))
          .map(
              json -> {
                console.print(json, () -> table(json.path("history")));
                return ExitCode.OK;
              });
    }

    private static String table(JsonNode versions) {
      TextTable table = TextTable.of("VERSION", "PUBLISHED", "AUTHOR");
      for (JsonNode version : versions) {
        table.row(
            version.path("version").asText(),
            RequestText.time(version.path("publishedAtMs")),
            version.path("author").asText("-"));
      }
      return table.render();
    }
  }
}
