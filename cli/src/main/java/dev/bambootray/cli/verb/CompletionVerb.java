package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.List;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a completion script. */
@Command(
    name = "completion",
    description = {
      "Print a completion script for bash and zsh.",
      "Use it with: source <(bambootray completion)"
    })
public final class CompletionVerb extends Verb {
  @Spec private CommandSpec spec = CommandSpec.create();

  /** Returns the verb. */
  public CompletionVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console) {
    String script = AutoComplete.bash("bambootray", spec.root().commandLine());
    console.printLines("script", List.of(script.stripTrailing()));
    return Either.right(ExitCode.OK);
  }
}
