package dev.bambootray.core.node;

/** Limits the open requests that this node waits for as their entry node. */
final class OpenRequestLimit {
  private final int maxRequests;
  private int requests;

  OpenRequestLimit(int maxRequests) {
    this.maxRequests = maxRequests;
  }

  /** Counts a request in, or returns false if the limit is reached. */
  boolean admit() {
    if (requests >= maxRequests) {
      return false;
    }
    requests++;
    return true;
  }

  /** Counts in a request that was accepted before. */
  void admitAlways() {
    requests++;
  }

  void release() {
    requests--;
  }
}
