package dev.bambootray.core.model;

/**
 * Identifies one attempt to run a request; unique over all nodes and epochs.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record AttemptToken(String value) implements Comparable<AttemptToken> {

  /** Checks the identifier text. */
  public AttemptToken {
    IdentifierValidator.check("attempt token", value);
  }

  /** Returns the identifier with the given text. */
  public static AttemptToken of(String value) {
    return new AttemptToken(value);
  }

  @Override
  public int compareTo(AttemptToken other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
