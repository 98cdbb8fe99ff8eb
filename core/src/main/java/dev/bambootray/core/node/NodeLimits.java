package dev.bambootray.core.node;

import dev.bambootray.core.store.OutageAdmission;

/**
 * The limits on the requests that a node holds.
 *
 * @param openRequests maximum number of open requests that it holds as their entry node
 * @param heldRequests maximum number of requests that it accepts while the table is unavailable
 * @param heldBytes maximum size of these requests in bytes
 */
public record NodeLimits(int openRequests, int heldRequests, long heldBytes) {
  private static final int OPEN_REQUESTS = 10_000;

  /** Returns the default limits. */
  public static NodeLimits defaults() {
    return new NodeLimits(OPEN_REQUESTS, OutageAdmission.MAX_REQUESTS, OutageAdmission.MAX_BYTES);
  }
}
