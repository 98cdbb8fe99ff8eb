package dev.bambootray.core.model;

/**
 * Identifies a machine that runs tasks.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

  /** Checks the identifier text. */
  public WorkerId {
    IdentifierValidator.check("worker", value);
  }

  /** Returns the identifier with the given text. */
  public static WorkerId of(String value) {
    return new WorkerId(value);
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
