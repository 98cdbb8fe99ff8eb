package dev.bambootray.documents.json;

import dev.bambootray.core.model.RegionId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the members of an object and reports every member that is missing, unknown or wrong.
 *
 * <p>A reading method returns a substitute within the allowed range after it reported an error, so
 * that the rest of the document can be checked too. Members that were not read when {@link
 * #finish()} is called are unknown.
 */
public final class ObjectCursor {
  private final JsonValue.ObjectValue object;
  private final boolean broken;
  private final String path;
  private final Problems problems;
  private final Set<String> known = new LinkedHashSet<>();

  private ObjectCursor(
      JsonValue.ObjectValue object, boolean broken, String path, Problems problems) {
    this.object = object;
    this.broken = broken;
    this.path = path;
    this.problems = problems;
  }

  /** Returns a cursor over the value, which is reported if it is not an object. */
  public static ObjectCursor of(JsonValue value, String path, Problems problems) {
    if (value instanceof JsonValue.ObjectValue object) {
      return new ObjectCursor(object, false, path, problems);
    }
    problems.add(value.place(), path, value.describe(), "an object");
    return new ObjectCursor(
        new JsonValue.ObjectValue(value.place(), Map.of()), true, path, problems);
  }

  /** Returns where the object starts. */
  public Place place() {
    return object.place();
  }

  /** Returns the path of a member. */
  public String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** Returns the path of the object. */
  public String path() {
    return path;
  }

  /** Returns whether the member is given. */
  public boolean has(String key) {
    known.add(key);
    return object.members().containsKey(key);
  }

  /** Returns the members of the object in the order of the text, without reading them. */
  public Map<String, JsonValue.Member> members() {
    return object.members();
  }

  /** Returns where the value of a member starts, or the object if the member is missing. */
  public Place placeOf(String key) {
    JsonValue.Member member = object.members().get(key);
    return member == null ? object.place() : member.value().place();
  }

  /** Reports that a member is wrong, unless the value was already reported as not an object. */
  public void reject(String key, String found, String expected) {
    if (!broken) {
      problems.add(placeOf(key), pathOf(key), found, expected);
    }
  }

  /** Returns the value of an optional member. */
  public Optional<JsonValue> value(String key) {
    known.add(key);
    return Optional.ofNullable(object.members().get(key)).map(JsonValue.Member::value);
  }

  private Optional<JsonValue> requiredValue(String key, String expected) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty() && !broken) {
      problems.add(object.place(), pathOf(key), "nothing", expected);
    }
    return value;
  }

  /** Reads a required text of at least one character. */
  public String text(String key) {
    String expected = "a text";
    return requiredValue(key, expected).map(value -> textOf(value, key, expected)).orElse("");
  }

  /** Reads an optional text. */
  public String text(String key, String orElse) {
    return value(key).map(value -> textOf(value, key, "a text")).orElse(orElse);
  }

  /** Reads an optional text; empty if it is missing or null. */
  public Optional<String> optionalText(String key) {
    return value(key)
        .filter(value -> !(value instanceof JsonValue.NullValue))
        .map(value -> textOf(value, key, "a text"));
  }

  private String textOf(JsonValue value, String key, String expected) {
    if (value instanceof JsonValue.TextValue text && !text.text().isEmpty()) {
      return text.text();
    }
    problems.add(value.place(), pathOf(key), value.describe(), expected);
    return "";
  }

  /** Reads a required identifier; empty text after an error. */
  public String identifier(String key) {
    String text = text(key);
    return text.isEmpty() || isIdentifier(text, placeOf(key), pathOf(key)) ? text : "";
  }

  /** Reads an optional list of identifiers without duplicates. */
  public List<String> identifiers(String key) {
    Set<String> result = new LinkedHashSet<>();
    for (Item item : items(key)) {
      if (!(item.value() instanceof JsonValue.TextValue text)) {
        problems.add(item.value().place(), item.path(), item.value().describe(), "an identifier");
      } else if (isIdentifier(text.text(), text.place(), item.path()) && !result.add(text.text())) {
        problems.add(text.place(), item.path(), text.describe() + " again", "distinct items");
      }
    }
    return List.copyOf(result);
  }

  private boolean isIdentifier(String text, Place place, String itemPath) {
    try {
      RegionId.of(text);
      return true;
    } catch (IllegalArgumentException e) {
      problems.add(
          place,
          itemPath,
          "\"" + Names.abbreviate(text) + "\"",
          "an identifier: 1 to 128 of letters, digits, '.', '_', ':' and '-'");
      return false;
    }
  }

  /** Reads an optional list of texts. */
  public List<String> texts(String key) {
    List<String> result = new ArrayList<>();
    for (Item item : items(key)) {
      if (item.value() instanceof JsonValue.TextValue text) {
        result.add(text.text());
      } else {
        problems.add(item.value().place(), item.path(), item.value().describe(), "a text");
      }
    }
    return result;
  }

  /** Reads a required whole number. */
  public long whole(String key, long min, long max) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty() && !broken) {
      problems.add(object.place(), pathOf(key), "nothing", expectedWhole(key, min, max));
    }
    return value.map(given -> wholeOf(given, key, min, max)).orElse(min);
  }

  /** Reads an optional whole number. */
  public long whole(String key, long min, long max, long orElse) {
    return value(key).map(value -> wholeOf(value, key, min, max)).orElse(orElse);
  }

  private long wholeOf(JsonValue value, String key, long min, long max) {
    if (value instanceof JsonValue.NumberValue number) {
      try {
        long parsed = Long.parseLong(number.text());
        if (parsed >= min && parsed <= max) {
          return parsed;
        }
      } catch (NumberFormatException e) {
        // A fraction, an exponent or a number beyond 64 bits is reported below.
      }
    }
    problems.add(value.place(), pathOf(key), value.describe(), expectedWhole(key, min, max));
    return min;
  }

  private static String expectedWhole(String key, long min, long max) {
    return "a whole number" + Names.unitPhrase(key) + " from " + min + " to " + max;
  }

  /** Reads a required TCP port. */
  public int port(String key) {
    return (int) whole(key, 1, 65_535);
  }

  /** Reads an optional number. */
  public double number(String key, double min, double max, double orElse) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty()) {
      return orElse;
    }
    return numberOf(value.get(), key, pathOf(key), min, max);
  }

  /** Reads a number whose unit is the suffix of the given name. */
  public double numberOf(JsonValue value, String name, String valuePath, double min, double max) {
    if (value instanceof JsonValue.NumberValue number) {
      double parsed = Double.parseDouble(number.text());
      if (parsed >= min && parsed <= max) {
        return parsed;
      }
    }
    problems.add(
        value.place(),
        valuePath,
        value.describe(),
        "a number"
            + Names.unitPhrase(name)
            + " from "
            + Names.plain(min)
            + " to "
            + Names.plain(max));
    return min;
  }

  /** Reads an optional truth value. */
  public boolean flag(String key, boolean orElse) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty()) {
      return orElse;
    }
    if (value.get() instanceof JsonValue.BooleanValue flag) {
      return flag.value();
    }
    reject(key, value.get().describe(), "true or false");
    return orElse;
  }

  /** Reads an optional name of a constant, written in lower case with hyphens. */
  public <E extends Enum<E>> E choice(String key, E[] choices, E orElse) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty()) {
      return orElse;
    }
    List<String> names = new ArrayList<>();
    for (E choice : choices) {
      names.add(choiceName(choice));
      if (value.get() instanceof JsonValue.TextValue text
          && text.text().equals(choiceName(choice))) {
        return choice;
      }
    }
    reject(key, value.get().describe(), "one of " + String.join(", ", names));
    return orElse;
  }

  /** Returns the name of a constant as documents write it. */
  public static String choiceName(Enum<?> choice) {
    return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Reads a required object. */
  public ObjectCursor object(String key) {
    Optional<JsonValue> value = requiredValue(key, "an object");
    if (value.isEmpty()) {
      return new ObjectCursor(
          new JsonValue.ObjectValue(object.place(), Map.of()), true, pathOf(key), problems);
    }
    return of(value.get(), pathOf(key), problems);
  }

  /** Reads an optional object; an empty one if it is missing. */
  public ObjectCursor objectOrEmpty(String key) {
    JsonValue.ObjectValue empty = new JsonValue.ObjectValue(object.place(), Map.of());
    return of(value(key).orElse(empty), pathOf(key), problems);
  }

  /** Reads an optional object. */
  public Optional<ObjectCursor> optionalObject(String key) {
    return value(key).map(value -> of(value, pathOf(key), problems));
  }

  /** Reads an optional list of objects; other items are reported and left out. */
  public List<ObjectCursor> objects(String key) {
    return items(key).stream()
        .map(item -> of(item.value(), item.path(), problems))
        .filter(cursor -> !cursor.broken)
        .toList();
  }

  private record Item(JsonValue value, String path) {}

  private List<Item> items(String key) {
    Optional<JsonValue> value = value(key);
    if (value.isEmpty()) {
      return List.of();
    }
    if (!(value.get() instanceof JsonValue.ArrayValue array)) {
      reject(key, value.get().describe(), "an array");
      return List.of();
    }
    List<Item> items = new ArrayList<>(array.items().size());
    for (int i = 0; i < array.items().size(); i++) {
      items.add(new Item(array.items().get(i), pathOf(key) + "[" + i + "]"));
    }
    return items;
  }

  /** Reports the members that no reading method asked for. */
  public void finish() {
    object
        .members()
        .forEach(
            (key, member) -> {
              if (!known.contains(key)) {
                problems.add(
                    member.place(),
                    Names.abbreviate(pathOf(key)),
                    "an unknown key",
                    problems.isFull() ? "" : suggestion(key));
              }
            });
  }

  private String suggestion(String key) {
    Optional<String> otherUnit = Names.sameWithOtherUnit(key, known);
    if (otherUnit.isPresent()) {
      String unit = Names.unitPhrase(otherUnit.get());
      return "\"" + otherUnit.get() + "\" (a number" + unit + ")";
    }
    return Names.closest(key, known)
        .map(name -> "\"" + name + "\"")
        .orElse(known.isEmpty() ? "no member" : "one of " + String.join(", ", known));
  }
}
