package dev.bambootray.core.model;

/**
 * Identifies a failure domain of a region.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Checks the identifier text. */
  public FailureDomainId {
    IdentifierValidator.check("failure domain", value);
  }

  /** Returns the identifier with the given text. */
  public static FailureDomainId of(String value) {
    return new FailureDomainId(value);
  }

  @Override
  public int compareTo(FailureDomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
