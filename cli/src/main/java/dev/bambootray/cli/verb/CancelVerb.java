package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.RequestText;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Cancels a request. */
@Command(name = "cancel", description = "Cancel a request and print the answer that stands.")
public final class CancelVerb extends WorkspaceVerb {
  @Parameters(paramLabel = "KEY", description = "The idempotency key.")
  private String key = "";

  /** Returns the verb. */
  public CancelVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session, String requestsPath) {
    return session
        .read(NodeCall.of("DELETE", requestsPath + "/" + encode(key)))
        .map(
            view -> {
              console.print(view, () -> RequestText.details(view));
              return ExitCode.OK;
            });
  }
}
