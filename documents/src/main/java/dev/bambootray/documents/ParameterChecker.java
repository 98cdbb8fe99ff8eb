package dev.bambootray.documents;

import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.documents.json.JsonText;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks the parameters of a request against the parameters that its template declares. */
public final class ParameterChecker {
  /** The longest parameters, in bytes of UTF-8. */
  public static final int MAX_BYTES = 64 * 1024;

  private ParameterChecker() {}

  /**
   * Returns the parameters as a compact JSON object in the declared order with defaults filled in,
   * or one line for each error. Comments are accepted and dropped.
   */
  public static Either<List<String>, String> check(
      List<ParameterDeclaration> declared, String parametersJson) {
    Problems problems = Problems.of("parameters");
    Optional<JsonValue> root = JsonTreeReader.read(parametersJson, MAX_BYTES, problems);
    if (root.isEmpty()) {
      return Either.left(problems.lines());
    }
    ObjectCursor given = ObjectCursor.of(root.get(), "", problems);
    List<String> members = new ArrayList<>();
    for (ParameterDeclaration parameter : declared) {
      checked(parameter, given)
          .ifPresent(json -> members.add(JsonText.quote(parameter.name()) + ":" + json));
    }
    given.finish();
    return problems.isEmpty()
        ? Either.right("{" + String.join(",", members) + "}")
        : Either.left(problems.lines());
  }

  private static Optional<String> checked(ParameterDeclaration parameter, ObjectCursor given) {
    String name = parameter.name();
    Optional<JsonValue> value = given.value(name);
    if (value.isEmpty()) {
      if (parameter.required()) {
        given.reject(name, "nothing", "a value, since the parameter is required");
      }
      return Optional.ofNullable(parameter.defaultJson());
    }
    Optional<String> expected = ParameterValues.objection(parameter, value.get());
    expected.ifPresent(text -> given.reject(name, value.get().describe(), text));
    return value.map(JsonText::of);
  }
}
