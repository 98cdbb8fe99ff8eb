package dev.bambootray.core.membership;

/** Intervals of the failure detector, in milliseconds. */
final class MembershipTimes {
  static final long PROBE_INTERVAL_MS = 500;

  /** Longer than a pause of 1 s plus a round trip between regions. */
  static final long SUSPECT_AFTER_MS = 1_500;

  /** With the time to suspicion, leaves 500 ms of the 3 s for spreading the news. */
  static final long DEAD_AFTER_SUSPECT_MS = 1_000;

  /**
   * A gap between two events of this node above this is a pause of its own; ticks come every 100
   * ms. Deadlines of peers are put off by it, since their answers may wait behind the tick.
   */
  static final long OWN_PAUSE_MS = 300;

  /** Rounds of probes in which half of the members are asked for their version. */
  static final int EXCHANGE_ROUNDS = 3;

  static final long REJOIN_INTERVAL_MS = 1_000;
  static final long TABLE_READ_INTERVAL_MS = 10_000;

  /** Nodes that start together have not written their rows yet when they read them first. */
  static final long DISCOVERY_READ_INTERVAL_MS = 1_000;

  /** Least distance of two rounds of urgent news, which bounds the traffic in a mass failure. */
  static final long URGENT_INTERVAL_MS = 200;

  /** A node that is dead for this long and missing from the VM list is taken from the table. */
  static final long FORGET_DEAD_MS = 600_000;

  private MembershipTimes() {}
}
