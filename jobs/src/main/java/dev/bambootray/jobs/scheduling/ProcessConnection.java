package dev.bambootray.jobs.scheduling;

/**
 * Tracks the connection over which a worker's known process has answered.
 *
 * <p>A connection ends with its process. Acknowledged ends and leases apply to one process only, so
 * calls with them are bound to its connection and cannot reach the next process of the worker,
 * however long they are delayed. Any connection over which the process has listed its runs will do.
 */
final class ProcessConnection {
  /** Identity that no connection has. */
  static final long UNKNOWN = 0;

  /**
   * Bound calls that end unsent one after the other before calls are sent without a connection, so
   * that a worker that closes its connections after each answer keeps its leases.
   */
  private static final int MAX_UNSENT_CALLS = 2;

  private long connection = UNKNOWN;
  private int unsentCalls;

  /** Notes a list of the known process; polls find the connection of the last poll idle. */
  void onListed(long listedOver, boolean refresh) {
    if (refresh) {
      connection = connection == UNKNOWN ? listedOver : connection;
      return;
    }
    // The worker has kept the connection of the last poll open.
    unsentCalls = listedOver == connection ? 0 : unsentCalls;
    connection = listedOver;
  }

  /** Notes a poll that was not sent because its connection is closed or in use. */
  void onNotSent() {
    connection = UNKNOWN;
    unsentCalls++;
  }

  /** Notes a call without an answer, after which the client closes connections. */
  void onFailed() {
    connection = UNKNOWN;
  }

  /** Returns whether calls with acknowledged ends and leases may be sent. */
  boolean isUsable() {
    return connection != UNKNOWN || isUnbound();
  }

  /** Returns whether calls are sent without a connection, as they were not sent otherwise. */
  private boolean isUnbound() {
    return unsentCalls >= MAX_UNSENT_CALLS;
  }

  /** Returns the connection to which a call for the known process is bound, or unknown. */
  long bound() {
    return isUnbound() ? UNKNOWN : connection;
  }

  /** Forgets the connection after a restart of the worker. */
  void restart() {
    connection = UNKNOWN;
    unsentCalls = 0;
  }
}
