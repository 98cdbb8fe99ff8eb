package dev.bambootray.core.node;

import dev.bambootray.core.store.OutageAdmission;

/**
 * How much a node holds.
 *
 * @param openRequests most open requests that it waits for as their entry node
 * @param heldRequests most requests that it takes while the table is away
 * @param heldBytes most bytes of these requests
 */
public record NodeLimits(int openRequests, int heldRequests, long heldBytes) {
  private static final int OPEN_REQUESTS = 10_000;

  /** Returns the limits of the design. */
  public static NodeLimits defaults() {
    return new NodeLimits(OPEN_REQUESTS, OutageAdmission.MAX_REQUESTS, OutageAdmission.MAX_BYTES);
  }
}
