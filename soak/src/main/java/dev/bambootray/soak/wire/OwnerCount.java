package dev.bambootray.soak.wire;

import java.util.Base64;

/** Counts how often a node has taken the pool over, by the row in which nodes name its owner. */
final class OwnerCount {
  /** Table of the owner row. */
  static final String TABLE = "owner";

  private long epoch;
  private int count;

  /** Notes an owner row that was written; each takeover has a higher epoch. */
  void onRow(String base64) {
    long written = Json.read(Base64.getDecoder().decode(base64)).path("epoch").asLong();
    if (written > epoch) {
      epoch = written;
      count++;
    }
  }

  int count() {
    return count;
  }
}
