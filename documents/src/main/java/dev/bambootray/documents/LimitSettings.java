package dev.bambootray.documents;

/**
 * Bounds on what a node holds.
 *
 * @param maxOpenRequests most requests whose callers wait on the node
 * @param maxBodyBytes longest body of a call, in bytes; declarations have their own bound of 8 MiB
 * @param heldRequests most requests held without a record while the store is unavailable
 * @param heldBytes most bytes of such requests together
 */
public record LimitSettings(
    int maxOpenRequests, int maxBodyBytes, int heldRequests, long heldBytes) {

  /** Returns the limits of the design page: 1,000 held requests and 16 MiB. */
  public static LimitSettings defaults() {
    return new LimitSettings(10_000, 256 * 1024, 1_000, 16L * 1024 * 1024);
  }
}
