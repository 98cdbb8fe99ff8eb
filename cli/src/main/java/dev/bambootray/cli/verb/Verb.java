package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.output.Console;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Mixin;

/** A verb of the tool: runs, prints its result or failure and returns the exit code. */
abstract class Verb implements Callable<Integer> {
  private final CliEnvironment environment;

  @Mixin private final OutputOptions output = new OutputOptions();

  Verb(CliEnvironment environment) {
    this.environment = environment;
  }

  final CliEnvironment environment() {
    return environment;
  }

  /** Runs the verb. */
  abstract Either<CliFailure, ExitCode> run(Console console);

  @Override
  public final Integer call() {
    Console console = Console.of(environment.out(), environment.err(), output.json());
    return run(console).fold(console::fail, Function.identity()).code();
  }
}
