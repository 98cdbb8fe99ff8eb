package dev.bambootray.core.node;

/** Limits the number of open requests that this node holds as their entry node. */
final class OpenRequestLimit {
  private final int maxRequests;
  private int requests;

  OpenRequestLimit(int maxRequests) {
    this.maxRequests = maxRequests;
  }

  /** Counts a request and returns true, or returns false if the limit is reached. */
  boolean admit() {
    if (requests >= maxRequests) {
      return false;
    }
    requests++;
    return true;
  }

  /** Counts a request that was accepted before, even above the limit. */
  void admitAlways() {
    requests++;
  }

  void release() {
    requests--;
  }
}
