package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.ports.api.SubmitCommand;
import io.vavr.control.Either;
import java.util.Iterator;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Reads the body of a submission; anything but the documented members is refused. */
final class SubmitReader {
  private static final Set<String> MEMBERS =
      Set.of("template", "parameters", "idempotencyKey", "deadlineMs", "repeatable", "urgent");
  private static final int MAX_DEPTH = 32;
  private static final int MAX_REASON_CHARS = 120;
  private static final int MAX_PARAMETERS_BYTES = 64 * 1024;
  // A year; longer deadlines are certainly a mistake of units.
  private static final long MAX_DEADLINE_MS = 366L * 24 * 3_600_000;

  private static final JsonMapper JSON = strictMapper();

  private SubmitReader() {}

  static Either<ApiResponse, SubmitCommand> read(
      WorkspaceId workspace, ApiRequest request, long waitMs) {
    return parse(request.body())
        .flatMap(SubmitReader::checkMembers)
        .flatMap(body -> command(workspace, request, waitMs, body));
  }

  private static Either<ApiResponse, SubmitCommand> command(
      WorkspaceId workspace, ApiRequest request, long waitMs, JsonNode body) {
    JsonNode deadline = body.path("deadlineMs");
    JsonNode parameters = body.path("parameters");
    if (!parameters.isObject()) {
      return wrong("parameters", "a JSON object");
    }
    String parametersJson = parameters.toString();
    if (parametersJson.getBytes(UTF_8).length > MAX_PARAMETERS_BYTES) {
      return wrong("parameters", "at most " + MAX_PARAMETERS_BYTES + " bytes of JSON");
    }
    if (!deadline.isIntegralNumber()
        || !deadline.canConvertToLong()
        || deadline.asLong() < 1
        || deadline.asLong() > MAX_DEADLINE_MS) {
      return wrong("deadlineMs", "a whole number of 1 to " + MAX_DEADLINE_MS);
    }
    if (!isBooleanOrAbsent(body, "repeatable")) {
      return wrong("repeatable", "true or false");
    }
    if (!isBooleanOrAbsent(body, "urgent")) {
      return wrong("urgent", "true or false");
    }
    return text(body, "template")
        .flatMap(template -> Texts.identifier("template", template, TemplateId::of))
        .flatMap(
            template ->
                text(body, "idempotencyKey")
                    .flatMap(
                        key ->
                            Texts.identifier(
                                "idempotencyKey", key, text -> new RequestKey(workspace, text)))
                    .map(
                        key ->
                            new SubmitCommand(
                                key,
                                template,
                                parametersJson,
                                deadline.asLong(),
                                repeatable(body),
                                body.path("urgent").asBoolean(false),
                                request.traceparent(),
                                waitMs)));
  }

  private static Either<ApiResponse, JsonNode> parse(String text) {
    try {
      JsonNode body = JSON.readTree(text);
      return body.isObject() ? Either.right(body) : wrong("body", "a JSON object");
    } catch (JsonProcessingException e) {
      return Either.left(Problems.badRequest("malformed JSON" + place(e) + ": " + reason(e)));
    }
  }

  private static String place(JsonProcessingException e) {
    JsonLocation at = e.getLocation();
    return at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
  }

  /** Returns the parser's reason without its remarks on the source and on the parser's settings. */
  private static String reason(JsonProcessingException e) {
    String message =
        e.getOriginalMessage().replaceAll(" \\(start marker.*", "").replaceAll(", from `.*", ")");
    return Texts.printable(message, MAX_REASON_CHARS);
  }

  private static Either<ApiResponse, JsonNode> checkMembers(JsonNode body) {
    for (Iterator<String> names = body.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!MEMBERS.contains(name)) {
        return Either.left(
            Problems.badRequest(
                "member \""
                    + Texts.quote(name)
                    + "\" is not known: expected one of "
                    + String.join(", ", new TreeSet<>(MEMBERS))));
      }
    }
    return Either.right(body);
  }

  private static Either<ApiResponse, String> text(JsonNode body, String name) {
    JsonNode value = body.path(name);
    return value.isTextual() ? Either.right(value.asText()) : wrong(name, "a text");
  }

  private static boolean isBooleanOrAbsent(JsonNode body, String name) {
    JsonNode value = body.path(name);
    return value.isMissingNode() || value.isBoolean();
  }

  private static @Nullable Boolean repeatable(JsonNode body) {
    JsonNode value = body.path("repeatable");
    return value.isBoolean() ? value.asBoolean() : null;
  }

  private static <T> Either<ApiResponse, T> wrong(String name, String expected) {
    return Either.left(Problems.badRequest("member \"" + name + "\": expected " + expected));
  }

  private static JsonMapper strictMapper() {
    JsonMapper mapper =
        JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .disable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
            .build();
    mapper
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).maxNumberLength(64).build());
    return mapper;
  }
}
