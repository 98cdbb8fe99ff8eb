package dev.bambootray.adapters.http;

import io.vavr.control.Either;
import java.util.function.Function;

/** Reads texts of a request and quotes them in problem details. */
final class Texts {
  private static final int MAX_QUOTED_CHARS = 40;

  private Texts() {}

  /** Returns a text that is safe to repeat: printable and short. */
  static String quote(String text) {
    return printable(text.replace('"', '?'), MAX_QUOTED_CHARS);
  }

  /** Returns a text without control and non-ASCII characters, cut at a length. */
  static String printable(String text, int maxChars) {
    StringBuilder printable = new StringBuilder();
    text.chars()
        .limit(maxChars)
        .forEach(c -> printable.append(c < ' ' || c > '~' ? '?' : (char) c));
    return text.length() > maxChars ? printable + "..." : printable.toString();
  }

  /** Reads a number within bounds. */
  static Either<ApiResponse, Long> number(String name, String text, long least, long most) {
    try {
      long value = Long.parseLong(text);
      if (value >= least && value <= most) {
        return Either.right(value);
      }
    } catch (NumberFormatException e) {
      // Falls through to the common description of what was expected.
    }
    return Either.left(
        Problems.badRequest(
            name + " is \"" + quote(text) + "\": expected a number of " + least + " to " + most));
  }

  /** Reads an identifier, whose check throws {@link IllegalArgumentException}. */
  static <T> Either<ApiResponse, T> identifier(
      String name, String text, Function<String, T> factory) {
    try {
      return Either.right(factory.apply(text));
    } catch (IllegalArgumentException e) {
      return Either.left(
          Problems.badRequest(
              name
                  + " is \""
                  + quote(text)
                  + "\": expected 1 to 128 letters, digits, '.', '_', ':' and '-'"));
    }
  }
}
