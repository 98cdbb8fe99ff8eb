package dev.bambootray.documents.json;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dev.bambootray.documents.json.JsonValue.ArrayValue;
import dev.bambootray.documents.json.JsonValue.NumberValue;
import dev.bambootray.documents.json.JsonValue.ObjectValue;
import dev.bambootray.documents.json.JsonValue.TextValue;
import java.util.stream.Collectors;

/** Writes values as compact JSON. */
public final class JsonText {
  private JsonText() {}

  /** Returns a value as JSON without comments and spaces. */
  public static String of(JsonValue value) {
    if (value instanceof TextValue text) {
      return quote(text.text());
    }
    if (value instanceof NumberValue number) {
      return number.text();
    }
    if (value instanceof ArrayValue array) {
      return array.items().stream().map(JsonText::of).collect(Collectors.joining(",", "[", "]"));
    }
    if (value instanceof ObjectValue object) {
      return object.members().entrySet().stream()
          .map(member -> quote(member.getKey()) + ":" + of(member.getValue().value()))
          .collect(Collectors.joining(",", "{", "}"));
    }
    return value.describe();
  }

  /** Returns a text as a JSON string. */
  public static String quote(String text) {
    return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
  }
}
