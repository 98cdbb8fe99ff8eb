package dev.bambootray.documents;

import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.JsonValue.BooleanValue;
import dev.bambootray.documents.json.JsonValue.NumberValue;
import dev.bambootray.documents.json.JsonValue.TextValue;
import dev.bambootray.documents.json.Names;
import java.util.Optional;
import java.util.regex.Pattern;

/** Compares values with parameter declarations. */
final class ParameterValues {
  private static final Pattern WHOLE = Pattern.compile("-?\\d{1,18}");

  private ParameterValues() {}

  /** Returns what was expected in place of the value, or empty if the value fits. */
  static Optional<String> objection(ParameterDeclaration parameter, JsonValue value) {
    return switch (parameter.type()) {
      case STRING -> textObjection(parameter, value);
      case INTEGER ->
          value instanceof NumberValue number && WHOLE.matcher(number.text()).matches()
              ? rangeObjection(parameter, Double.parseDouble(number.text()), "a whole number")
              : Optional.of("a whole number" + range(parameter));
      case NUMBER ->
          value instanceof NumberValue number
              ? rangeObjection(parameter, Double.parseDouble(number.text()), "a number")
              : Optional.of("a number" + range(parameter));
      case BOOLEAN ->
          value instanceof BooleanValue ? Optional.empty() : Optional.of("true or false");
    };
  }

  private static Optional<String> textObjection(ParameterDeclaration parameter, JsonValue value) {
    if (!(value instanceof TextValue text)) {
      return Optional.of("a text");
    }
    if (!parameter.allowedValues().isEmpty() && !parameter.allowedValues().contains(text.text())) {
      return Optional.of("one of " + String.join(", ", parameter.allowedValues()));
    }
    int length = text.text().codePointCount(0, text.text().length());
    return rangeObjection(parameter, length, "a text with a length");
  }

  private static Optional<String> rangeObjection(
      ParameterDeclaration parameter, double number, String what) {
    Double minimum = parameter.minimum();
    Double maximum = parameter.maximum();
    boolean fits =
        (minimum == null || number >= minimum)
            && (maximum == null || number <= maximum)
            && !Double.isInfinite(number);
    return fits ? Optional.empty() : Optional.of(what + range(parameter));
  }

  private static String range(ParameterDeclaration parameter) {
    Double minimum = parameter.minimum();
    Double maximum = parameter.maximum();
    if (minimum != null && maximum != null) {
      return " from " + Names.plain(minimum) + " to " + Names.plain(maximum);
    }
    if (minimum != null) {
      return " of at least " + Names.plain(minimum);
    }
    return maximum == null ? "" : " of at most " + Names.plain(maximum);
  }
}
