package dev.bambootray.cli.verb;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.TextFiles;
import dev.bambootray.documents.json.JsonText;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The body of a submission.
 *
 * @param template the template, empty if not given
 * @param parametersJson the parameters as a JSON object
 * @param key the idempotency key, empty if not given
 * @param deadlineMs time until the answer is due, in milliseconds, or 0 if not given
 * @param repeatable whether it may run more than once, null for the template's default
 * @param urgent whether it claims guaranteed capacity at once
 */
record SubmitBody(
    String template,
    String parametersJson,
    String key,
    long deadlineMs,
    @Nullable Boolean repeatable,
    boolean urgent) {
  private static final int MAX_BYTES = 256 * 1024;
  private static final long MAX_DEADLINE_MS = 365L * 24 * 3_600_000;

  /** Returns a body in which nothing is given. */
  static SubmitBody empty() {
    return new SubmitBody("", "{}", "", 0, null, false);
  }

  /** Reads a body from a file of JSON with comments. */
  static Either<CliFailure, SubmitBody> read(Path file) {
    return TextFiles.read(file, MAX_BYTES)
        .mapLeft(List::of)
        .flatMap(text -> parse(file.toString(), text))
        .mapLeft(lines -> CliFailure.of(ExitCode.USAGE, lines));
  }

  private static Either<List<String>, SubmitBody> parse(String file, String text) {
    Problems problems = Problems.of(file);
    Optional<JsonValue> root = JsonTreeReader.read(text, MAX_BYTES, problems);
    if (root.isEmpty()) {
      return Either.left(problems.lines());
    }
    ObjectCursor body = ObjectCursor.of(root.get(), "", problems);
    Optional<JsonValue> parameters = body.value("parameters");
    parameters.ifPresent(value -> ObjectCursor.of(value, "parameters", problems));
    SubmitBody read =
        new SubmitBody(
            body.text("template", ""),
            parameters.map(JsonText::of).orElse("{}"),
            body.text("idempotencyKey", ""),
            body.whole("deadlineMs", 1, MAX_DEADLINE_MS, 0),
            body.has("repeatable") ? (Boolean) body.flag("repeatable", true) : null,
            body.flag("urgent", false));
    body.finish();
    return problems.isEmpty() ? Either.right(read) : Either.left(problems.lines());
  }

  /** Returns the parameters given as options: JSON scalars as such, all else as texts. */
  static String parametersJson(Map<String, String> options) {
    return options.entrySet().stream()
        .map(option -> JsonText.quote(option.getKey()) + ":" + scalar(option.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }

  private static String scalar(String text) {
    return JsonTreeReader.read(text, Problems.of("option"))
        .filter(
            value ->
                value instanceof JsonValue.NumberValue
                    || value instanceof JsonValue.BooleanValue
                    || value instanceof JsonValue.TextValue)
        .map(JsonText::of)
        .orElseGet(() -> JsonText.quote(text));
  }

  /** Returns the body as JSON. */
  String json() {
    ObjectNode json = JsonNodeFactory.instance.objectNode().put("template", template);
    json.set("parameters", JsonNodeFactory.instance.rawValueNode(new RawValue(parametersJson)));
    json.put("idempotencyKey", key).put("deadlineMs", deadlineMs);
    if (repeatable != null) {
      json.put("repeatable", repeatable);
    }
    return json.put("urgent", urgent).toString();
  }
}
