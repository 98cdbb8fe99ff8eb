package dev.bambootray.documents;

import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.documents.json.JsonText;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Reads declarations of parameters. */
final class ParameterReader {
  private static final double MAX_BOUND = 1e15;

  private ParameterReader() {}

  static Optional<ParameterDeclaration> read(ObjectCursor parameter, Problems problems) {
    int before = problems.count();
    String name = parameter.identifier("name");
    ParameterDeclaration.Type type =
        parameter.choice(
            "type", ParameterDeclaration.Type.values(), ParameterDeclaration.Type.STRING);
    boolean required = parameter.flag("required", false);
    Double minimum = bound(parameter, "minimum");
    Double maximum = bound(parameter, "maximum");
    List<String> allowedValues = parameter.texts("allowedValues");
    Optional<JsonValue> defaultValue = parameter.value("default");
    parameter.finish();
    if (problems.count() != before) {
      return Optional.empty();
    }
    checkBounds(parameter, type, minimum, maximum, allowedValues);
    ParameterDeclaration bare =
        new ParameterDeclaration(name, type, required, minimum, maximum, allowedValues, null);
    if (defaultValue.isEmpty()) {
      return Optional.of(bare);
    }
    if (required) {
      parameter.reject("default", "a default of a required parameter", "no default");
    }
    Optional<String> objection = ParameterValues.objection(bare, defaultValue.get());
    objection.ifPresent(
        expected -> parameter.reject("default", defaultValue.get().describe(), expected));
    String defaultJson = objection.isPresent() ? null : JsonText.of(defaultValue.get());
    return Optional.of(
        new ParameterDeclaration(
            name, type, required, minimum, maximum, allowedValues, defaultJson));
  }

  private static @Nullable Double bound(ObjectCursor parameter, String key) {
    return parameter.has(key) ? parameter.number(key, -MAX_BOUND, MAX_BOUND, 0) : null;
  }

  private static void checkBounds(
      ObjectCursor parameter,
      ParameterDeclaration.Type type,
      @Nullable Double minimum,
      @Nullable Double maximum,
      List<String> allowedValues) {
    if (minimum != null && maximum != null && minimum > maximum) {
      parameter.reject("maximum", maximum.toString(), "at least minimum, " + minimum);
    }
    if (type == ParameterDeclaration.Type.BOOLEAN && (minimum != null || maximum != null)) {
      parameter.reject("type", "bounds of a boolean", "no minimum or maximum");
    }
    if (type != ParameterDeclaration.Type.STRING && !allowedValues.isEmpty()) {
      parameter.reject("allowedValues", "allowed texts of another type", "type string");
    }
  }
}
