package dev.bambootray.documents;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads text files up to a bound. */
public final class TextFiles {
  private TextFiles() {}

  /** Returns the text of a file of UTF-8, or one line that says why it can't be read. */
  public static Either<String, String> read(Path file, long maxBytes) {
    try {
      if (Files.size(file) > maxBytes) {
        return Either.left(file + ": found a longer file, expected at most " + maxBytes + " bytes");
      }
      return Either.right(Files.readString(file));
    } catch (NoSuchFileException e) {
      return Either.left(file + ": there is no such file");
    } catch (CharacterCodingException e) {
      return Either.left(file + ": found bytes that are not UTF-8, expected a text");
    } catch (IOException e) {
      return Either.left(file + ": can't be read: " + e.getMessage());
    }
  }
}
