package dev.bambootray.documents.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads JSON with comments into values with places.
 *
 * <p>The text, the nesting and the number of values are bounded, so that a hostile text costs a
 * bounded amount of memory.
 */
public final class JsonTreeReader {
  /** The longest text, in bytes of UTF-8. */
  public static final int MAX_TEXT_BYTES = 8 * 1024 * 1024;

  /** The deepest nesting of objects and arrays; declarations need 6. */
  public static final int MAX_NESTING = 32;

  /**
   * The most values. A declaration of 4,000 workers without racks has about 60,000; a text of 8 MiB
   * could hold 4 million, which would take some 300 MB.
   */
  public static final int MAX_VALUES = 500_000;

  private static final int MAX_STRING_CHARS = 64 * 1024;
  private static final int MAX_NAME_CHARS = 1_000;
  private static final int MAX_NUMBER_CHARS = 100;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          // Names come from outside; interned ones would stay in memory.
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING)
                  .maxStringLength(MAX_STRING_CHARS)
                  .maxNameLength(MAX_NAME_CHARS)
                  .maxNumberLength(MAX_NUMBER_CHARS)
                  .build())
          .build();

  private final JsonParser parser;
  private final Problems problems;
  private int values;

  private JsonTreeReader(JsonParser parser, Problems problems) {
    this.parser = parser;
    this.problems = problems;
  }

  /**
   * Returns the value that the text holds, or empty if the text is not JSON. Duplicate keys are
   * reported and their first value stands.
   */
  public static Optional<JsonValue> read(String text, Problems problems) {
    return read(text, MAX_TEXT_BYTES, problems);
  }

  /** Reads a text of at most the given number of bytes of UTF-8. */
  public static Optional<JsonValue> read(String text, int maxBytes, Problems problems) {
    if (text.length() > maxBytes || text.getBytes(StandardCharsets.UTF_8).length > maxBytes) {
      problems.add(Place.START, "", "a longer text", "at most " + maxBytes + " bytes");
      return Optional.empty();
    }
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new JsonTreeReader(parser, problems).readDocument();
    } catch (JsonProcessingException e) {
      Place place = e.getLocation() == null ? Place.START : place(e.getLocation());
      problems.add(place, "", "text that is not JSON", "JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      problems.add(Place.START, "", "an unreadable text", "JSON: " + e.getMessage());
    }
    return Optional.empty();
  }

  private Optional<JsonValue> readDocument() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(Place.START, "", "an empty text", "a JSON object");
      return Optional.empty();
    }
    JsonValue value = readValue();
    if (values > MAX_VALUES) {
      problems.add(here(), "", "more values", "at most " + MAX_VALUES + " values");
      return Optional.empty();
    }
    if (parser.nextToken() != null) {
      problems.add(here(), "", "more text after the value", "the end of the text");
      return Optional.empty();
    }
    return Optional.of(value);
  }

  private JsonValue readValue() throws IOException {
    Place place = here();
    values++;
    JsonToken token = parser.currentToken();
    return switch (token) {
      case START_OBJECT -> readObject(place);
      case START_ARRAY -> readArray(place);
      case VALUE_STRING -> new JsonValue.TextValue(place, parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
          new JsonValue.NumberValue(place, parser.getText());
      case VALUE_TRUE, VALUE_FALSE ->
          new JsonValue.BooleanValue(place, token == JsonToken.VALUE_TRUE);
      default -> new JsonValue.NullValue(place);
    };
  }

  private JsonValue readObject(Place place) throws IOException {
    Map<String, JsonValue.Member> members = new LinkedHashMap<>();
    while (values <= MAX_VALUES && parser.nextToken() == JsonToken.FIELD_NAME) {
      Place keyPlace = here();
      String key = parser.currentName();
      parser.nextToken();
      JsonValue value = readValue();
      JsonValue.Member first = members.putIfAbsent(key, new JsonValue.Member(keyPlace, value));
      if (first != null) {
        problems.add(
            keyPlace,
            problems.isFull() ? "" : path(parser.getParsingContext()),
            "a duplicate key",
            "one value for the key, first given on line " + first.place().line());
      }
    }
    return new JsonValue.ObjectValue(place, members);
  }

  private JsonValue readArray(Place place) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (values <= MAX_VALUES && parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readValue());
    }
    return new JsonValue.ArrayValue(place, items);
  }

  /**
   * Returns the path of the current member. Paths are built only for errors: names of 1,000
   * characters, nested 32 deep, would otherwise cost 32,000 characters for each value.
   */
  private static String path(JsonStreamContext context) {
    StringBuilder path = new StringBuilder();
    for (JsonStreamContext at = context; at != null && !at.inRoot(); at = at.getParent()) {
      String dot = path.isEmpty() || path.charAt(0) == '[' ? "" : ".";
      String part = at.inArray() ? "[" + at.getCurrentIndex() + "]" : at.getCurrentName();
      path.insert(0, part + dot);
    }
    return Names.abbreviate(path.toString());
  }

  private Place here() {
    return place(parser.currentTokenLocation());
  }

  private static Place place(JsonLocation location) {
    return new Place(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }
}
