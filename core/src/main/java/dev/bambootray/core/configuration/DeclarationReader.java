package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import io.vavr.control.Either;
import java.util.List;

/** Reads the text of a declaration. */
@FunctionalInterface
public interface DeclarationReader {

  /**
   * Returns the declaration with the given version, or one line for each error with its line,
   * column and what was expected.
   */
  Either<List<String>, Declaration> read(String text, long version);
}
