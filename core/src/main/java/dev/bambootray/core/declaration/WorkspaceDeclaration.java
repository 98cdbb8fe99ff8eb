package dev.bambootray.core.declaration;

import dev.bambootray.core.model.WorkspaceId;
import java.util.List;

/**
 * A workspace with its weight, its guarantees and its limits.
 *
 * @param id the workspace
 * @param weight its weight in fair sharing, greater than 0
 * @param guarantees shapes that it can claim at any time
 * @param maxQueued maximum number of its requests that wait in one region
 * @param maxAccelerators maximum number of accelerators that it may use at once over all regions,
 *     including borrowed ones
 * @param tokenSha256 SHA-256 digests of its callers' tokens in lower-case hexadecimal
 */
public record WorkspaceDeclaration(
    WorkspaceId id,
    double weight,
    List<Guarantee> guarantees,
    int maxQueued,
    int maxAccelerators,
    List<String> tokenSha256) {

  /** Copies the lists. */
  public WorkspaceDeclaration {
    guarantees = List.copyOf(guarantees);
    tokenSha256 = List.copyOf(tokenSha256);
  }
}
