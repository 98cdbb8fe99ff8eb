package dev.bambootray.core.model;

/**
 * Identifies a service that answers requests.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the identifier text. */
  public ServiceId {
    IdentifierValidator.check("service", value);
  }

  /** Returns the identifier with the given text. */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
