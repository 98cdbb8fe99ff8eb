package dev.bambootray.core.model;

/**
 * Identifies a request by its workspace and the idempotency key that the caller chose within it.
 *
 * @param workspace the workspace that owns the request
 * @param idempotencyKey the caller's key, unique within the workspace
 */
public record RequestKey(WorkspaceId workspace, String idempotencyKey)
    implements Comparable<RequestKey> {

  /** Checks the idempotency key. */
  public RequestKey {
    IdentifierValidator.check("idempotency key", idempotencyKey);
  }

  /** Returns the key for the given workspace and idempotency key. */
  public static RequestKey of(String workspace, String idempotencyKey) {
    return new RequestKey(WorkspaceId.of(workspace), idempotencyKey);
  }

  /** Returns the path form {@code <workspace>/<key>}, as used in rows of the table. */
  public String path() {
    return workspace.value() + "/" + idempotencyKey;
  }

  @Override
  public int compareTo(RequestKey other) {
    int byWorkspace = workspace.compareTo(other.workspace);
    return byWorkspace != 0 ? byWorkspace : idempotencyKey.compareTo(other.idempotencyKey);
  }

  @Override
  public String toString() {
    return path();
  }
}
