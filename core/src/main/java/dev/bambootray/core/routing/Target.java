package dev.bambootray.core.routing;

import dev.bambootray.core.model.WorkerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** One service instance on a worker. */
final class Target extends Timed {
  final WorkerId worker;
  final ServicePool pool;
  final List<Run> runs = new ArrayList<>();
  final Deque<Run> fateQueue = new ArrayDeque<>();
  int slots;

  /** Concurrency limit, 1 to {@link #slots}. */
  int limit;

  boolean joined;
  boolean leaving;

  /** It did not answer on a fresh connection; it gets nothing new until it does. */
  boolean unreachable;

  /** It is out of use because it failed everything. */
  boolean ejected;

  /** Consecutive failures of different requests. */
  int failureStreak;

  int ejections;
  int notSentStreak;

  /** Concurrency allowed by slow re-admission. */
  int rampLimit;

  int probesAnswered;
  double failureRate;
  double logSlowness;
  int slownessSamples;
  long lastSentAtMs = Long.MIN_VALUE / 2;
  long readmittedAtMs = Long.MIN_VALUE / 2;

  /** It refused for lack of capacity and gets nothing new until its timer is due. */
  boolean refusing;

  @Nullable Run fateInFlight;

  Target(WorkerId worker, ServicePool pool, int slots) {
    this.worker = worker;
    this.pool = pool;
    this.slots = slots;
    this.limit = slots;
    this.rampLimit = slots;
  }

  void setSlots(int newSlots) {
    slots = newSlots;
    limit = Math.min(limit, newSlots);
    rampLimit = Math.max(rampLimit, newSlots);
  }

  /** Returns whether it may get new requests. */
  boolean isOpen() {
    return joined && !leaving && !unreachable && !ejected && !refusing;
  }

  /** Returns the slots that new requests may take. */
  int freeSlots() {
    return isOpen() ? Math.max(0, limit - runs.size()) : 0;
  }
}
