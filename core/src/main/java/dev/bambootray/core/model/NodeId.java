package dev.bambootray.core.model;

/**
 * Identifies a VM that runs the daemon.
 *
 * @param value the identifier text, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 */
public record NodeId(String value) implements Comparable<NodeId> {

  /** Checks the identifier text. */
  public NodeId {
    IdentifierValidator.check("node", value);
  }

  /** Returns the identifier with the given text. */
  public static NodeId of(String value) {
    return new NodeId(value);
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
