package dev.bambootray.core.model;

/**
 * Identifies a rack of workers.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Checks the identifier text. */
  public RackId {
    IdentifierValidator.check("rack", value);
  }

  /** Returns the identifier with the given text. */
  public static RackId of(String value) {
    return new RackId(value);
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
