package dev.bambootray.core.model;

/**
 * Identifies a region.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Checks the identifier text. */
  public RegionId {
    IdentifierValidator.check("region", value);
  }

  /** Returns the identifier with the given text. */
  public static RegionId of(String value) {
    return new RegionId(value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
