package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/** A verb that acts on requests of one workspace. */
abstract class WorkspaceVerb extends NodeVerb {
  @Option(
      names = {"-w", "--workspace"},
      paramLabel = "WORKSPACE",
      description = "The workspace. Variable BAMBOOTRAY_WORKSPACE.")
  private @Nullable String workspace;

  WorkspaceVerb(CliEnvironment environment) {
    super(environment);
  }

  /** Runs the verb; the path is that of the workspace's requests. */
  abstract Either<CliFailure, ExitCode> run(
      Console console, NodeSession session, String requestsPath);

  @Override
  final Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
    return workspace()
        .flatMap(name -> run(console, session, "/v1/workspaces/" + encode(name) + "/requests"));
  }

  private Either<CliFailure, String> workspace() {
    return connection()
        .config(environment())
        .flatMap(
            config -> {
              String variable = environment().variables().get("BAMBOOTRAY_WORKSPACE");
              String name = ConnectionOptions.first(workspace, variable, config.workspace());
              return name == null
                  ? Either.left(
                      CliFailure.of(ExitCode.USAGE, "no workspace given: expected --workspace"))
                  : Either.right(name);
            });
  }
}
