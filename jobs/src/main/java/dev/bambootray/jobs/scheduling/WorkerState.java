package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What the owner knows of a worker. */
final class WorkerState {
  /** At 2% of drift a lease is 0.6 s shorter than meant after this time. */
  private static final long CLOCK_KEEPS_MS = 30_000;

  /** Longer than any list is on its way. */
  private static final long ENDED_KEEPS_MS = 5_000;

  WorkerEntry entry;
  final Map<RunName, Placement> placements = new LinkedHashMap<>();

  /** Whether the registry lists it; an unlisted worker gets no new runs but may finish its own. */
  boolean listed;

  /** Whether it has listed its runs to this owner. */
  boolean adopted;

  long bornMs;

  /** Newest end that was handled, and newest that may be acknowledged. */
  long seen;

  long durableSeen;
  long acknowledgedSeen;

  /** Batch after which {@code seen} may be acknowledged. */
  long seenBatch;

  /** When runs ended, for lists that were asked for before. */
  private final Map<RunName, Long> endedMs = new LinkedHashMap<>();

  /** Cached result of {@link #free}, null after a change. */
  private @Nullable Resources free;

  private long clockMs = -1;
  private long clockAtMs;

  /** After this time every lease that was ever sent to it has run out. */
  long leaseEndMs;

  boolean pollInFlight;
  boolean lookInFlight;
  boolean lookWanted;
  long lastReplyMs = Long.MIN_VALUE / 2;
  long nextCallMs;
  int failedCalls;

  /** No new runs before this time. */
  long pausedUntilMs;

  /** Failures of different jobs in a row, as evidence against the worker. */
  int failureStreak;

  String lastFailedJob = "";

  WorkerState(WorkerEntry entry) {
    this.entry = entry;
    bornMs = entry.bornMs();
  }

  String id() {
    return entry.id();
  }

  String rack() {
    return entry.rack();
  }

  /** Returns whether its address is known; a run may outlive the entry of its worker. */
  boolean hasAddress() {
    return !entry.address().isEmpty();
  }

  /** Returns whether it has not answered the newest call, or cannot be called. */
  boolean isSilent() {
    return failedCalls > 0 || !hasAddress();
  }

  boolean isUsable(long nowMs) {
    return listed && adopted && !entry.draining() && failedCalls == 0 && nowMs >= pausedUntilMs;
  }

  void update(WorkerEntry newEntry) {
    entry = newEntry;
    free = null;
  }

  void learnClock(long workerMs, long nowMs) {
    clockMs = workerMs;
    clockAtMs = nowMs;
  }

  boolean knowsClock() {
    return clockMs >= 0;
  }

  /** Returns whether the clock was read too long ago to grant leases by it. */
  boolean needsClock(long nowMs) {
    return !knowsClock() || nowMs - clockAtMs > CLOCK_KEEPS_MS;
  }

  /** Returns the end of a lease that begins now, by the worker's clock, never too late. */
  long leaseUntilMs(long nowMs, long leaseMs) {
    // A worker's clock may run 2% slow.
    return clockMs + (long) ((nowMs - clockAtMs) * 0.98) + leaseMs;
  }

  /** Returns what its placements leave free. */
  Resources free() {
    Resources known = free;
    if (known == null) {
      known = countFree();
      free = known;
    }
    return known;
  }

  void add(Placement placement) {
    placements.put(placement.run, placement);
    free = null;
  }

  /** Removes a placement and returns whether it was there. */
  boolean remove(Placement placement, long nowMs) {
    free = null;
    endedMs.values().removeIf(sinceMs -> nowMs - sinceMs > ENDED_KEEPS_MS);
    endedMs.put(placement.run, nowMs);
    return placements.remove(placement.run, placement);
  }

  /** Returns whether a run ended after a time. */
  boolean hasEndedSince(RunName run, long sinceMs) {
    return endedMs.getOrDefault(run, Long.MIN_VALUE) >= sinceMs;
  }

  private Resources countFree() {
    int accelerators = entry.capacity().accelerators();
    int millicores = entry.capacity().millicores();
    int memoryMib = entry.capacity().memoryMib();
    for (Placement placement : placements.values()) {
      accelerators -= placement.size().accelerators();
      millicores -= placement.size().millicores();
      memoryMib -= placement.size().memoryMib();
    }
    return new Resources(accelerators, millicores, memoryMib);
  }

  String describe() {
    return id()
        + " rack="
        + rack()
        + " listed="
        + listed
        + " adopted="
        + adopted
        + " draining="
        + entry.draining()
        + " failed="
        + failedCalls
        + " paused_until="
        + pausedUntilMs
        + " free="
        + free()
        + " runs="
        + placements.values().stream()
            .map(placement -> RunTracker.text(placement) + ":" + placement.phase)
            .toList();
  }

  /** Forgets all of an earlier life. */
  void restart(long newBornMs) {
    bornMs = newBornMs;
    adopted = false;
    seen = 0;
    durableSeen = 0;
    acknowledgedSeen = 0;
    clockMs = -1;
    failureStreak = 0;
  }
}
