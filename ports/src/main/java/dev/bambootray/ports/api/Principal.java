package dev.bambootray.ports.api;

import dev.bambootray.core.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The authenticated caller of an operation.
 *
 * @param workspace the caller's workspace, or null for an operator
 * @param operator whether the caller may act as operator
 */
public record Principal(@Nullable WorkspaceId workspace, boolean operator) {

  /** Returns whether the caller may see and act on requests of a workspace. */
  public boolean mayAccess(WorkspaceId other) {
    return operator || other.equals(workspace);
  }
}
