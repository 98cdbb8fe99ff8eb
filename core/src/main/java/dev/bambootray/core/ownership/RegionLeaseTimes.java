package dev.bambootray.core.ownership;

/** Durations and intervals of region leases, in milliseconds. */
final class RegionLeaseTimes {
  static final long LEASE_MS = 3_000;

  /**
   * Lease of an owner that the members consider dead. Its row is free after staying unchanged for
   * this long. Detecting the death takes 2,500 ms; with the full lease, reading the rows only once
   * a second could delay the takeover by another second.
   */
  static final long DEAD_OWNER_LEASE_MS = 2_000;

  static final long RENEW_INTERVAL_MS = 1_000;
  static final long READ_INTERVAL_MS = 1_000;

  /**
   * Longest gap between two reads that still shows that a row stayed unchanged. After an outage of
   * the store, a longer gap gives the owner time to renew before others take over.
   */
  static final long MAX_READ_GAP_MS = 2_500;

  /** Maximum age of the row that a take is based on; longer than one tick. */
  static final long FRESH_READ_MS = 200;

  static final long STORE_TIMEOUT_MS = 2_000;

  /** Extra delay of a node of another region while the region has a live node of its own. */
  static final long REMOTE_DELAY_MS = 2_000;

  /** Extra delay of a node that already owns its share of the regions. */
  static final long FULL_SHARE_DELAY_MS = 1_000;

  /** Delay between the attempts of two candidates; longer than a write of the table. */
  static final long RANK_DELAY_MS = 250;

  static final int MAX_RANK = 3;

  /** Time without a membership change after which regions may move to better owners. */
  static final long SETTLED_MS = 10_000;

  /** Upper bound of the growing interval between two voluntary moves of one region. */
  static final long MAX_MOVE_INTERVAL_MS = 600_000;

  /** Time for which a node does not take a region that it released. */
  static final long RETAKE_DELAY_MS = 5_000;

  private RegionLeaseTimes() {}
}
