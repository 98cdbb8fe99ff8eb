package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliFailure;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.documents.DeclarationParser;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.GuaranteeProblems;
import dev.bambootray.documents.TextFiles;
import dev.bambootray.documents.json.JsonTreeReader;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;

/** Reads declarations from files and from nodes. */
final class DeclarationFiles {
  private static final DeclarationParser PARSER =
      DeclarationParser.create().withCheck(GuaranteeProblems::of);

  private DeclarationFiles() {}

  /**
   * A declaration with its text.
   *
   * @param text its text
   * @param declaration its content
   */
  record Source(String text, Declaration declaration) {}

  static Either<CliFailure, Source> read(Path file) {
    return TextFiles.read(file, JsonTreeReader.MAX_TEXT_BYTES)
        .mapLeft(List::of)
        .flatMap(text -> PARSER.read(file.toString(), text, 0).map(d -> new Source(text, d)))
        .mapLeft(lines -> CliFailure.of(ExitCode.INVALID_DECLARATION, lines));
  }

  /** Reads the text of a published version; nothing was published before version 1. */
  static Either<CliFailure, Declaration> published(String text, long version) {
    return PARSER
        .read("version " + version, text.isBlank() ? "{}" : text, version)
        .mapLeft(lines -> CliFailure.of(ExitCode.INVALID_DECLARATION, lines));
  }
}
