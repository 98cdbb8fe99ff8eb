package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliFailure;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.TextFiles;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Defaults of options, from the tool's own file.
 *
 * @param nodes addresses of nodes
 * @param tokenFile file with the token, or null
 * @param trustFile file with the certificates to trust, or null
 * @param workspace the workspace, or null
 */
record CliConfig(
    List<String> nodes,
    @Nullable String tokenFile,
    @Nullable String trustFile,
    @Nullable String workspace) {
  private static final int MAX_BYTES = 64 * 1024;

  /** Returns no defaults. */
  static CliConfig none() {
    return new CliConfig(List.of(), null, null, null);
  }

  /** Reads the file; names of files are taken from its directory. */
  static Either<CliFailure, CliConfig> read(Path file) {
    return TextFiles.read(file, MAX_BYTES)
        .mapLeft(List::of)
        .flatMap(text -> parse(file, text))
        .mapLeft(lines -> CliFailure.of(ExitCode.INVALID_SETTINGS, lines));
  }

  private static Either<List<String>, CliConfig> parse(Path file, String text) {
    Problems problems = Problems.of(file.toString());
    Optional<JsonValue> root = JsonTreeReader.read(text, MAX_BYTES, problems);
    if (root.isEmpty()) {
      return Either.left(problems.lines());
    }
    ObjectCursor document = ObjectCursor.of(root.get(), "", problems);
    CliConfig read =
        new CliConfig(
            document.texts("nodes"),
            beside(file, document.optionalText("tokenFile")),
            beside(file, document.optionalText("trustFile")),
            document.optionalText("workspace").orElse(null));
    document.finish();
    return problems.isEmpty() ? Either.right(read) : Either.left(problems.lines());
  }

  private static @Nullable String beside(Path file, Optional<String> name) {
    return name.map(value -> file.resolveSibling(value).toString()).orElse(null);
  }
}
