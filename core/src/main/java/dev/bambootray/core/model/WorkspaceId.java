package dev.bambootray.core.model;

/**
 * Identifies a workspace, a customer that holds guarantees.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks the identifier text. */
  public WorkspaceId {
    IdentifierValidator.check("workspace", value);
  }

  /** Returns the identifier with the given text. */
  public static WorkspaceId of(String value) {
    return new WorkspaceId(value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
