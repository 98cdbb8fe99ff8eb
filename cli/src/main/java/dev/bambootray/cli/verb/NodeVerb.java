package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import picocli.CommandLine.Mixin;

/** A verb that calls nodes. */
abstract class NodeVerb extends Verb {
  @Mixin private final ConnectionOptions connection = new ConnectionOptions();

  NodeVerb(CliEnvironment environment) {
    super(environment);
  }

  final ConnectionOptions connection() {
    return connection;
  }

  /** Runs the verb with a session. */
  abstract Either<CliFailure, ExitCode> run(Console console, NodeSession session);

  @Override
  final Either<CliFailure, ExitCode> run(Console console) {
    return connection.open(environment()).flatMap(session -> run(console, session));
  }
}
