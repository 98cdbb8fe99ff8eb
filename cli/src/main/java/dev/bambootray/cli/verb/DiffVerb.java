package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.output.Console;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.documents.DeclarationDiff;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Compares two declarations, or one with the running version. */
@Command(
    name = "diff",
    description = {
      "Compare two declarations by meaning, or one with the running version.",
      "Each changed item takes one line: + added, - removed, ~ changed."
    })
public final class DiffVerb extends Verb {
  @Mixin private final ConnectionOptions connection = new ConnectionOptions();

  @Parameters(
      arity = "1..2",
      paramLabel = "FILE",
      description = "The declaration before and after; with one file, before is what runs.")
  private List<Path> files = new ArrayList<>();

  /** Returns the verb. */
  public DiffVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console) {
    return before()
        .flatMap(before -> file(files.size() - 1).map(after -> lines(before, after)))
        .map(
            lines -> {
              if (lines.isEmpty()) {
                console.note("no difference");
              }
              if (!lines.isEmpty() || console.isJson()) {
                console.printLines("changes", lines);
              }
              return ExitCode.OK;
            });
  }

  static List<String> lines(Declaration before, Declaration after) {
    return DeclarationDiff.between(before, after).stream()
        .map(DeclarationDiff.Change::toString)
        .toList();
  }

  private Either<CliFailure, Declaration> before() {
    return files.size() == 2
        ? file(0)
        : connection
            .open(environment())
            .flatMap(RunningDeclaration::current)
            .flatMap(RunningDeclaration::parse);
  }

  private Either<CliFailure, Declaration> file(int index) {
    return DeclarationFiles.read(files.get(index)).map(DeclarationFiles.Source::declaration);
  }
}
