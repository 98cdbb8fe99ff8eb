package dev.bambootray.core.ownership;

/** Intervals of leases on regions, in milliseconds. */
final class LeaseTimes {
  static final long LEASE_MS = 3_000;

  /**
   * A row that stayed unchanged for this long is free if the members found its owner dead, which
   * takes 2,500 ms; without it, reading the rows each second could add a second to the lease.
   */
  static final long DEAD_OWNER_LEASE_MS = 2_000;

  static final long RENEW_INTERVAL_MS = 1_000;
  static final long READ_INTERVAL_MS = 1_000;

  /**
   * Two reads further apart do not show that a row stayed unchanged: after an outage of the store
   * the owner gets the time to renew before others take over.
   */
  static final long MAX_READ_GAP_MS = 2_500;

  /** A region is taken only if its row was read within this time; more than one tick. */
  static final long FRESH_READ_MS = 200;

  static final long STORE_TIMEOUT_MS = 2_000;

  /** How much longer a node of another region waits while the region has a live node. */
  static final long REMOTE_DELAY_MS = 2_000;

  /** How much longer a node waits that already owns its share. */
  static final long FULL_DELAY_MS = 1_000;

  /** Distance between the attempts of two candidates; longer than a write of the table. */
  static final long RANK_DELAY_MS = 250;

  static final int MAX_RANK = 3;

  /** A region moves only if the members did not change for this long. */
  static final long SETTLED_MS = 10_000;

  /** Longest wait between two voluntary moves of one region. */
  static final long MAX_MOVE_INTERVAL_MS = 600_000;

  /** How long a node leaves a region alone that it released. */
  static final long AFTER_RELEASE_MS = 5_000;

  private LeaseTimes() {}
}
