package dev.bambootray.core.membership;

/** Intervals of the failure detector, in milliseconds. */
final class MembershipTimes {
  static final long PROBE_INTERVAL_MS = 500;

  /** Longer than a pause of 1 s plus a round trip between regions. */
  static final long SUSPECT_AFTER_MS = 1_500;

  /**
   * Together with {@link #SUSPECT_AFTER_MS} this leaves 500 ms of the permitted 3 s for all nodes
   * to learn of a failure.
   */
  static final long DEAD_AFTER_SUSPECT_MS = 1_000;

  /**
   * A longer gap between two events means that this node itself was paused, since ticks come every
   * 100 ms. The deadlines of its peers are then extended by the gap, because their answers may be
   * queued behind the tick.
   */
  static final long OWN_PAUSE_MS = 300;

  /** Number of probe rounds within which half of the members are asked for their version. */
  static final int EXCHANGE_ROUNDS = 3;

  static final long REJOIN_INTERVAL_MS = 1_000;
  static final long TABLE_READ_INTERVAL_MS = 10_000;

  /**
   * Shorter at first: nodes that start together have not yet written their rows at the first read.
   */
  static final long DISCOVERY_READ_INTERVAL_MS = 1_000;

  /** Minimum interval between rounds of urgent probes; bounds the traffic when many nodes fail. */
  static final long RELAY_INTERVAL_MS = 200;

  /**
   * A node that has been dead for this long and is not in the VM list is deleted from the table.
   */
  static final long REMOVE_DEAD_AFTER_MS = 600_000;

  private MembershipTimes() {}
}
