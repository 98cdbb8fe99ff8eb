package dev.bambootray.core.model;

import java.util.regex.Pattern;

/** Validates the text of identifiers. */
final class IdentifierValidator {
  private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private IdentifierValidator() {}

  static void check(String kind, String value) {
    if (!ALLOWED.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "invalid "
              + kind
              + " identifier \""
              + abbreviate(value)
              + "\": expected 1 to 128 of"
              + " letters, digits, '.', '_', ':' and '-'");
    }
  }

  private static String abbreviate(String value) {
    return value.length() <= 40 ? value : value.substring(0, 40) + "...";
  }
}
