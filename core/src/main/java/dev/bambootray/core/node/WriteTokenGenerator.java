package dev.bambootray.core.node;

/** Generates write tokens that are unique across all nodes and restarts. */
final class WriteTokenGenerator {
  private final String prefix;
  private long last;

  WriteTokenGenerator(NodeIdentity identity) {
    prefix = identity.node() + "." + Long.toString(identity.startedAtMs(), 36) + ".";
  }

  String next() {
    return prefix + Long.toString(++last, 36);
  }
}
