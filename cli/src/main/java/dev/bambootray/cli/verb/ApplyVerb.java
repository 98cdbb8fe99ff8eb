package dev.bambootray.cli.verb;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeReply;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Publishes a declaration on condition that no other version was published meanwhile. */
@Command(
    name = "apply",
    description = {
      "Publish a declaration as the next version.",
      "The change is conditional on the version that was read, or on --expect-version."
    })
public final class ApplyVerb extends NodeVerb {
  @Parameters(paramLabel = "FILE", description = "The declaration.")
  private Path file = Path.of("");

  @Option(
      names = "--expect-version",
      paramLabel = "N",
      description = "Publish only if N is the running version; default: the version read first.")
  private @Nullable Long expectedVersion;

  @Option(names = "--author", paramLabel = "NAME", description = "Who publishes it.")
  private @Nullable String author;

  /** Returns the verb. */
  public ApplyVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
    return DeclarationFiles.read(file)
        .flatMap(mine -> base(session).flatMap(base -> publish(console, session, mine, base)));
  }

  private Either<CliFailure, RunningDeclaration> base(NodeSession session) {
    if (expectedVersion == null) {
      return RunningDeclaration.current(session);
    }
    return expectedVersion == 0
        ? Either.right(new RunningDeclaration(0, "", ""))
        : RunningDeclaration.at(session, expectedVersion);
  }

  private Either<CliFailure, ExitCode> publish(
      Console console, NodeSession session, DeclarationFiles.Source mine, RunningDeclaration base) {
    NodeCall call =
        NodeCall.withBody("PUT", "/v1/declaration", mine.text(), 0)
            .header("If-Match", Long.toString(base.version()));
    NodeCall signed = author == null ? call : call.header("X-Author", author);
    return session
        .call(signed)
        .flatMap(
            reply ->
                switch (reply.status()) {
                  case 200, 202 -> Either.right(published(console, reply));
                  case 412 -> lostRace(console, mine, base, reply);
                  case 422 -> Either.left(invalid(reply));
                  default -> Either.left(CliFailure.of(reply));
                });
  }

  private static ExitCode published(Console console, NodeReply reply) {
    JsonNode json = reply.json();
    String version = "version " + json.path("version").asLong();
    if (json.path("accepted").asBoolean()) {
      console.print(json, () -> version + " is accepted");
      return ExitCode.OK;
    }
    List<String> missing = new ArrayList<>();
    json.path("missing").forEach(node -> missing.add(node.asText()));
    console.print(
        json,
        () ->
            version
                + " is committed and will not be undone; not confirmed yet by "
                + String.join(", ", missing));
    return ExitCode.NOT_ACCEPTED_YET;
  }

  /**
   * Shows what the other operator and this one changed since the common version. Nothing is lost:
   * the file is untouched and the other version is in the history.
   */
  private Either<CliFailure, ExitCode> lostRace(
      Console console, DeclarationFiles.Source mine, RunningDeclaration base, NodeReply reply) {
    RunningDeclaration theirs = RunningDeclaration.of(reply.json().path("current"));
    if (theirs.version() == base.version() + 1 && theirs.text().equals(mine.text())) {
      // The reply to an earlier attempt of this call was lost after the write took effect.
      console.print(
          reply.json(),
          () -> "version " + theirs.version() + " has this content; its confirmation was not seen");
      return Either.right(ExitCode.NOT_ACCEPTED_YET);
    }
    List<String> lines = new ArrayList<>();
    lines.add(
        "version "
            + theirs.version()
            + " of "
            + (theirs.author().isEmpty() ? "another operator" : theirs.author())
            + " was published since version "
            + base.version()
            + "; nothing was written and "
            + file
            + " is unchanged");
    return base.parse()
        .flatMap(
            before ->
                theirs
                    .parse()
                    .map(
                        other -> {
                          lines.add("changes from version " + base.version() + " to theirs:");
                          lines.addAll(indented(DiffVerb.lines(before, other)));
                          lines.add("changes from version " + base.version() + " to yours:");
                          lines.addAll(indented(DiffVerb.lines(before, mine.declaration())));
                          lines.add(
                              "to publish yours over theirs: apply --expect-version "
                                  + theirs.version());
                          return lines;
                        }))
        .fold(
            unreadable -> {
              lines.addAll(unreadable.lines());
              return Either.left(new CliFailure(ExitCode.LOST_RACE, lines, reply.json()));
            },
            all -> Either.left(new CliFailure(ExitCode.LOST_RACE, all, reply.json())));
  }

  private static List<String> indented(List<String> lines) {
    return lines.isEmpty() ? List.of("  none") : lines.stream().map(line -> "  " + line).toList();
  }

  private static CliFailure invalid(NodeReply reply) {
    List<String> problems = new ArrayList<>();
    reply.json().path("problems").forEach(problem -> problems.add(problem.asText()));
    return problems.isEmpty()
        ? CliFailure.of(reply)
        : new CliFailure(ExitCode.INVALID_DECLARATION, problems, reply.json());
  }
}
