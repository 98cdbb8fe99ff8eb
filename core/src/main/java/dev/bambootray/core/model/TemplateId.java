package dev.bambootray.core.model;

/**
 * Identifies a template, a declared kind of work.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record TemplateId(String value) implements Comparable<TemplateId> {

  /** Checks the identifier text. */
  public TemplateId {
    IdentifierValidator.check("template", value);
  }

  /** Returns the identifier with the given text. */
  public static TemplateId of(String value) {
    return new TemplateId(value);
  }

  @Override
  public int compareTo(TemplateId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
