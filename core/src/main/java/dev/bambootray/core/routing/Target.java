package dev.bambootray.core.routing;

import dev.bambootray.core.model.WorkerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** One service instance on a worker. */
final class Target extends TimerEntry {
  /**
   * Slowness at which a target counts as slow. Run times vary widely, so the moving average of
   * their logarithms deviates by about 0.2; the logarithm of 2 is more than three times that.
   */
  private static final double SLOWNESS_THRESHOLD = 2;

  /** Time after which a probe or status query without an outcome is dropped, in milliseconds. */
  private static final long QUERY_EXPIRY_MS = 5_000;

  private static final double SLOWNESS_GAIN = 0.1;
  private static final int MIN_SLOWNESS_SAMPLES = 8;

  final WorkerId worker;
  final ServicePool pool;
  private final List<Run> runs = new ArrayList<>();
  final Deque<Run> statusQueryQueue = new ArrayDeque<>();
  private int slots;

  /** Concurrency limit, 1 to {@link #slots}. */
  private int limit;

  /** The list of ready targets that contains the target, or null. */
  @Nullable List<Target> readyList;

  int readyIndex;
  private int countedFree;
  private int countedCapacity;

  private boolean joined;
  private boolean leaving;
  boolean lost;

  /** It did not answer on a fresh connection and gets no new requests until it does. */
  private boolean unreachable;

  /** It failed too many requests in a row and gets no new ones until it is readmitted. */
  private boolean ejected;

  /** Consecutive failures of different requests. */
  private int failureStreak;

  /**
   * It fails more than the others, but too many targets are ejected already; it gets one run per
   * mean run time.
   */
  private boolean paced;

  int ejections;
  long ejectedUntilMs;
  int notSentStreak;

  /** Concurrency limit after a readmission, which grows by one with each successful run. */
  int rampLimit;

  int probesAnswered;

  /** Moving average of the share of its runs that failed. */
  double failureRate;

  private double logSlowness;
  private double slowness = 1;
  private int slownessSamples;
  long lastSentAtMs = Long.MIN_VALUE / 2;
  long readmittedAtMs = Long.MIN_VALUE / 2;

  /** It refused a run for lack of capacity and gets no new ones until its timer is due. */
  private boolean refusing;

  @Nullable Run statusQueryInFlight;

  /** A probe is in flight; probes and status queries share one connection. */
  boolean probeInFlight;

  /** Time of the last probe or status query. */
  long lastQueryAtMs;

  Target(WorkerId worker, ServicePool pool, int slots) {
    this.worker = worker;
    this.pool = pool;
    this.slots = slots;
    this.limit = slots;
    this.rampLimit = slots;
  }

  /**
   * Drops a probe or status query whose outcome never arrived, because it would block all later
   * ones.
   */
  void dropUnansweredQuery(long nowMs) {
    if (nowMs - lastQueryAtMs > QUERY_EXPIRY_MS) {
      probeInFlight = false;
      statusQueryInFlight = null;
    }
  }

  /** Updates the slowness with the logarithm of a run time relative to the usual one. */
  void observeSlowness(double logRatio) {
    slownessSamples++;
    double gain = Math.max(SLOWNESS_GAIN, 1.0 / slownessSamples);
    logSlowness += (logRatio - logSlowness) * gain;
    slowness = slownessSamples < MIN_SLOWNESS_SAMPLES ? 1 : Math.exp(logSlowness);
    updatePoolCounts();
  }

  /** Returns how many times longer its runs take than those of the other targets. */
  double slowness() {
    return slowness;
  }

  boolean isSlow() {
    return slowness >= SLOWNESS_THRESHOLD;
  }

  /** Returns whether it is used only if no better target is available. */
  boolean isDeprioritized() {
    return paced || isSlow();
  }

  void setSlots(int newSlots) {
    slots = newSlots;
    limit = Math.min(limit, newSlots);
    rampLimit = Math.max(rampLimit, newSlots);
    updatePoolCounts();
  }

  /** Returns whether it may get new requests. */
  boolean isOpen() {
    return joined && !leaving && !unreachable && !ejected && !refusing;
  }

  /** Returns the slots that new requests may take. */
  int freeSlots() {
    return isOpen() ? Math.max(0, limit - runs.size()) : 0;
  }

  /** Returns whether its worker is adopted. */
  boolean isJoined() {
    return joined;
  }

  void setJoined(boolean value) {
    joined = value;
    updatePoolCounts();
  }

  /** Returns whether it takes no new requests because it is leaving. */
  boolean isLeaving() {
    return leaving;
  }

  void setLeaving(boolean value) {
    leaving = value;
    updatePoolCounts();
  }

  /** Returns whether it did not answer on a fresh connection. */
  boolean isUnreachable() {
    return unreachable;
  }

  void setUnreachable(boolean value) {
    unreachable = value;
    updatePoolCounts();
  }

  /** Returns whether it gets no new requests because it failed too many in a row. */
  boolean isEjected() {
    return ejected;
  }

  void setEjected(boolean value) {
    ejected = value;
    updatePoolCounts();
  }

  /** Returns whether it recently refused a run for lack of capacity. */
  boolean isRefusing() {
    return refusing;
  }

  void setRefusing(boolean value) {
    refusing = value;
    updatePoolCounts();
  }

  /** Returns whether it gets only one run per mean run time. */
  boolean isPaced() {
    return paced;
  }

  void setPaced(boolean value) {
    paced = value;
    updatePoolCounts();
  }

  int failureStreak() {
    return failureStreak;
  }

  void setFailureStreak(int value) {
    failureStreak = value;
    updatePoolCounts();
  }

  int slots() {
    return slots;
  }

  int limit() {
    return limit;
  }

  void setLimit(int value) {
    limit = value;
    updatePoolCounts();
  }

  /** Returns the number of runs that hold a slot. */
  int usedSlots() {
    return runs.size();
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }

  void addRun(Run run) {
    runs.add(run);
    updatePoolCounts();
  }

  void removeRun(Run run) {
    runs.remove(run);
    updatePoolCounts();
  }

  /** Updates the counts and the ready targets of the pool after a change of this target. */
  private void updatePoolCounts() {
    boolean counts = isOpen() && !lost;
    int free = isDeprioritized() ? 0 : freeSlots();
    int capacity = counts ? limit : 0;
    pool.adjustCounts(free - countedFree, capacity - countedCapacity);
    countedFree = free;
    countedCapacity = capacity;
    pool.ready.update(this);
  }
}
