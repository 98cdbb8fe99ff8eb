package dev.bambootray.core.node;

/** Counts the requests whose callers wait on this node and limits them. */
final class HeldRequests {
  private final int maxRequests;
  private final long maxBytes;
  private int requests;
  private long bytes;

  HeldRequests(int maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /** Counts a request in, or returns false if the limit is reached. */
  boolean admit(int sizeBytes) {
    if (requests >= maxRequests || bytes + sizeBytes > maxBytes) {
      return false;
    }
    admitAlways(sizeBytes);
    return true;
  }

  /** Counts in a request that was accepted before. */
  void admitAlways(int sizeBytes) {
    requests++;
    bytes += sizeBytes;
  }

  void release(int sizeBytes) {
    requests--;
    bytes -= sizeBytes;
  }
}
