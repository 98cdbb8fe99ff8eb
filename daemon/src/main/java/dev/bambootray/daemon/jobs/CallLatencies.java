package dev.bambootray.daemon.jobs;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Tallies how long the owner's calls take, for its log.
 *
 * <p>May be used from any thread.
 */
final class CallLatencies {
  /** What the owner calls. */
  enum Kind {
    /** Transactions of the store. */
    COMMITS,
    /** Start and stop orders to workers. */
    ORDERS,
    /** Lists of runs from workers, without the time for which a call asks the worker to wait. */
    LISTS
  }

  /** Calls since the last report. */
  private static final class Tally {
    private int calls;
    private int failed;
    private long slowestMs;
  }

  private final Map<Kind, Tally> tallies = new EnumMap<>(Kind.class);

  CallLatencies() {
    reset();
  }

  /**
   * Records a call that has ended.
   *
   * @param kind what was called
   * @param durationMs time from the call to its answer, or until it was given up
   * @param answered whether there was a usable answer
   */
  synchronized void record(Kind kind, long durationMs, boolean answered) {
    Tally tally = tallies.computeIfAbsent(kind, key -> new Tally());
    tally.calls++;
    tally.failed += answered ? 0 : 1;
    tally.slowestMs = Math.max(tally.slowestMs, durationMs);
  }

  /** Returns a text on the calls since the last report, and forgets them. */
  synchronized String report() {
    StringBuilder text = new StringBuilder();
    tallies.forEach(
        (kind, tally) ->
            text.append(text.isEmpty() ? "" : " ")
                .append(kind.name().toLowerCase(Locale.ROOT))
                .append('=')
                .append(tally.calls)
                .append(" failed=")
                .append(tally.failed)
                .append(" slowest_ms=")
                .append(tally.slowestMs));
    reset();
    return text.toString();
  }

  private void reset() {
    for (Kind kind : Kind.values()) {
      tallies.put(kind, new Tally());
    }
  }
}
