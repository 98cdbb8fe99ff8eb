package dev.bambootray.documents.json;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A JSON value with its place. */
public sealed interface JsonValue {

  /** Returns where the value starts. */
  Place place();

  /** Returns a short description of the value for error messages. */
  String describe();

  /**
   * An object.
   *
   * @param place where it starts
   * @param members its members in the order of the text
   */
  record ObjectValue(Place place, Map<String, Member> members) implements JsonValue {

    /** Returns the value of a member, or null if the object does not have it. */
    public @Nullable JsonValue get(String key) {
      Member member = members.get(key);
      return member == null ? null : member.value();
    }

    @Override
    public String describe() {
      return "an object";
    }
  }

  /**
   * A member of an object.
   *
   * @param place where its key starts
   * @param value its value
   */
  record Member(Place place, JsonValue value) {}

  /**
   * An array.
   *
   * @param place where it starts
   * @param items its items
   */
  record ArrayValue(Place place, List<JsonValue> items) implements JsonValue {
    @Override
    public String describe() {
      return "an array";
    }
  }

  /**
   * A string.
   *
   * @param place where it starts
   * @param text its text
   */
  record TextValue(Place place, String text) implements JsonValue {
    @Override
    public String describe() {
      return "\"" + Names.abbreviate(text) + "\"";
    }
  }

  /**
   * A number.
   *
   * @param place where it starts
   * @param text the number as written
   */
  record NumberValue(Place place, String text) implements JsonValue {
    @Override
    public String describe() {
      return Names.abbreviate(text);
    }
  }

  /**
   * A truth value.
   *
   * @param place where it starts
   * @param value the value
   */
  record BooleanValue(Place place, boolean value) implements JsonValue {
    @Override
    public String describe() {
      return Boolean.toString(value);
    }
  }

  /**
   * The null value.
   *
   * @param place where it starts
   */
  record NullValue(Place place) implements JsonValue {
    @Override
    public String describe() {
      return "null";
    }
  }
}
