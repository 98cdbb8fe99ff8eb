package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Takes a node or a worker out of service gracefully, or puts a worker back. */
public final class DrainVerb {
  private DrainVerb() {}

  /** Returns the verb {@code drain} with its nouns. */
  public static CommandLine drain(CliEnvironment environment) {
    return new CommandLine(new Drain())
        .addSubcommand(new DrainNode(environment))
        .addSubcommand("worker", new ChangeWorker(environment, "drain", "draining"));
  }

  /** Returns the verb {@code resume} with its noun. */
  public static CommandLine resume(CliEnvironment environment) {
    return new CommandLine(new Resume())
        .addSubcommand("worker", new ChangeWorker(environment, "resume", "resumed"));
  }

  @Command(name = "drain", description = "Take a node or a worker out of service gracefully.")
  private static final class Drain {}

  @Command(name = "resume", description = "Put a drained worker back into service.")
  private static final class Resume {}

  @Command(
      name = "node",
      description = {
        "Begin a graceful shutdown of the node named by --node.",
        "Exactly one --node is accepted, so that no other node is stopped in its place."
      })
  private static final class DrainNode extends NodeVerb {
    DrainNode(CliEnvironment environment) {
      super(environment);
    }

    @Override
    Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
      if (session.nodes().size() != 1) {
        return Either.left(
            CliFailure.of(
                ExitCode.USAGE,
                "found " + session.nodes().size() + " nodes, expected exactly one --node"));
      }
      return session
          .read(NodeCall.of("POST", "/v1/node/drain"))
          .map(json -> done(console, "node", session.currentNode(), "draining"));
    }
  }

  @Command(description = "Stop or resume new work on a worker; running work is not interrupted.")
  private static final class ChangeWorker extends NodeVerb {
    private final String action;
    private final String outcome;

    @Parameters(paramLabel = "WORKER", description = "The worker.")
    private String worker = "";

    ChangeWorker(CliEnvironment environment, String action, String outcome) {
      super(environment);
      this.action = action;
      this.outcome = outcome;
    }

    @Override
    Either<CliFailure, ExitCode> run(Console console, NodeSession session) {
      return session
          .read(NodeCall.of("POST", "/v1/workers/" + encode(worker) + "/" + action))
          .map(json -> done(console, "worker", worker, outcome));
    }
  }

  private static ExitCode done(Console console, String kind, String name, String outcome) {
    console.print(
        JsonNodeFactory.instance.objectNode().put(kind, name).put("state", outcome),
        () -> kind + " " + name + ": " + outcome);
    return ExitCode.OK;
  }
}
