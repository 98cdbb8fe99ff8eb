package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import io.vavr.control.Either;
import java.util.List;

/** Parses and validates the text of a declaration. */
@FunctionalInterface
public interface DeclarationReader {

  /**
   * Returns the declaration with the given version, or the errors: one line of text for each, with
   * the line, the column and what was expected.
   */
  Either<List<String>, Declaration> read(String text, long version);
}
