package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.output.Console;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks declarations without calling a node. */
@Command(name = "validate", description = "Check declarations without calling a node.")
public final class ValidateVerb extends Verb {
  @Parameters(arity = "1..*", paramLabel = "FILE", description = "The declarations.")
  private List<Path> files = new ArrayList<>();

  /** Returns the verb. */
  public ValidateVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console) {
    List<String> summaries = new ArrayList<>();
    List<String> errors = new ArrayList<>();
    for (Path file : files) {
      DeclarationFiles.read(file)
          .peek(source -> summaries.add(file + ": valid: " + summary(source.declaration())))
          .peekLeft(failure -> errors.addAll(failure.lines()));
    }
    if (!errors.isEmpty()) {
      return Either.left(CliFailure.of(ExitCode.INVALID_DECLARATION, errors));
    }
    console.printLines("valid", summaries);
    return Either.right(ExitCode.OK);
  }

  private static String summary(Declaration declaration) {
    int accelerators =
        declaration.workers().values().stream().mapToInt(w -> w.capacity().accelerators()).sum();
    return "regions "
        + declaration.regions().size()
        + ", workers "
        + declaration.workers().size()
        + ", accelerators "
        + accelerators
        + ", workspaces "
        + declaration.workspaces().size()
        + ", services "
        + declaration.services().size()
        + ", templates "
        + declaration.templates().size();
  }
}
