package dev.bambootray.core.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A typed parameter of a template.
 *
 * @param name its name
 * @param type its type
 * @param required whether a request must set it
 * @param minimum smallest number or length, or null
 * @param maximum largest number or length, or null
 * @param allowedValues the allowed strings; empty if any is allowed
 * @param defaultJson the default as JSON, or null
 */
public record ParameterDeclaration(
    String name,
    Type type,
    boolean required,
    @Nullable Double minimum,
    @Nullable Double maximum,
    List<String> allowedValues,
    @Nullable String defaultJson) {

  /** Type of a parameter's value. */
  public enum Type {
    /** A JSON string. */
    STRING,
    /** A JSON number without fraction. */
    INTEGER,
    /** A JSON number. */
    NUMBER,
    /** true or false. */
    BOOLEAN
  }

  /** Copies the allowed values. */
  public ParameterDeclaration {
    allowedValues = List.copyOf(allowedValues);
  }
}
