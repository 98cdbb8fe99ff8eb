package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Tracks the state of a worker on the owner. */
final class WorkerState {
  /** Maximum age of a clock reading; a drift of 2% shortens a lease by 0.6 s after this time. */
  private static final long CLOCK_VALIDITY_MS = 30_000;

  /** Time for which ended runs are remembered; longer than any list can be delayed. */
  private static final long ENDED_RETENTION_MS = 5_000;

  WorkerEntry entry;
  final Map<RunName, Placement> placements = new LinkedHashMap<>();

  /** Whether the registry lists it; an unlisted worker gets no new runs but finishes its own. */
  boolean listed;

  /** Whether its previous process was leaving when it ended. */
  boolean drainedBeforeRestart;

  /** Whether its failure domain is closed; it gets no new runs but finishes its own. */
  boolean domainClosed;

  /** Whether it is kept for one task, which may have crashed its workers. */
  boolean setAside;

  /** Whether it has reported its runs to this owner. */
  boolean adopted;

  /** Whether its newest list of runs lacked ends for want of space. */
  boolean endsCutOff;

  /** Start of its process as far as the owner knows it, 0 if unknown. */
  long bornMs;

  /** Starts of earlier processes; a later one has listed its runs since. */
  private final Set<Long> formerBornMs = new HashSet<>();

  /** Starts of processes that count as replaced, perhaps because of an invalid entry only. */
  private final Set<Long> replacedBornMs = new HashSet<>();

  final EndAcknowledgements ends = new EndAcknowledgements();
  final ProcessConnection connection = new ProcessConnection();

  /** Times at which runs ended, to ignore lists that were requested before. */
  private final Map<RunName, Long> endedMs = new LinkedHashMap<>();

  /** Cached result of {@link #free}, null after a change. */
  private @Nullable Resources free;

  private long clockMs = -1;
  private long clockAtMs;

  /** Time at which the leases of runs that a list has shown have expired. */
  long leaseEndMs;

  /** Time of the last order or call that granted a lease by the clock of its known process. */
  long leaseSentMs = Long.MIN_VALUE / 2;

  boolean pollInFlight;
  boolean refreshInFlight;
  boolean refreshWanted;
  long lastReplyMs = Long.MIN_VALUE / 2;
  long nextCallMs;
  int failedCalls;

  /** Time of the first failed call since its last list of runs, or -1. */
  long silentSinceMs = -1;

  /** Time before which it gets no new runs. */
  long pausedUntilMs;

  /** Number of consecutive failures of different jobs. */
  int failureStreak;

  String lastFailedJob = "";

  WorkerState(WorkerEntry entry) {
    this.entry = entry;
    bornMs = entry.bornMs();
  }

  String id() {
    return entry.id();
  }

  /** Returns the worker for a call, with the start of the process that the call is meant for. */
  WorkerEntry callee() {
    return entry.bornMs() == bornMs ? entry : entry.withBornMs(bornMs);
  }

  /** Returns whether a call was meant for the known process at its address. */
  boolean isCurrent(WorkerEntry callee) {
    return callee.bornMs() == bornMs && callee.address().equals(entry.address());
  }

  /**
   * Returns whether the known address is that of the known process. A late entry may name the
   * address of an earlier one.
   */
  boolean knowsAddress() {
    return hasAddress() && !isAnotherProcess(entry.bornMs());
  }

  String rack() {
    return entry.rack();
  }

  /** Returns whether its address is known; an adopted run may be on a worker without an entry. */
  boolean hasAddress() {
    return !entry.address().isEmpty();
  }

  /** Returns whether its newest call failed or it cannot be called. */
  boolean isUnresponsive() {
    return failedCalls > 0 || !hasAddress();
  }

  /** Returns whether a start time is that of another process than the known one. */
  boolean isAnotherProcess(long otherBornMs) {
    return otherBornMs > 0 && bornMs > 0 && otherBornMs != bornMs;
  }

  /** Notes that the known process has listed its runs, so that it has replaced the others. */
  void confirmProcess() {
    formerBornMs.addAll(replacedBornMs);
    replacedBornMs.clear();
    formerBornMs.remove(bornMs);
  }

  /** Returns whether a start time is that of a process that another one has replaced. */
  boolean isFormerProcess(long otherBornMs) {
    return formerBornMs.contains(otherBornMs);
  }

  boolean isUsable(long nowMs) {
    return acceptsRuns() && adopted && failedCalls == 0 && nowMs >= pausedUntilMs;
  }

  /** Returns whether it may be given runs of any task. */
  boolean isOpen(long nowMs) {
    return isUsable(nowMs) && !setAside;
  }

  /** Returns why it may not be given runs of any task, or "open", for the log. */
  String openness(long nowMs) {
    if (!listed) {
      return "unlisted";
    }
    if (entry.draining()) {
      return "draining";
    }
    if (domainClosed) {
      return "domain_closed";
    }
    if (failedCalls > 0) {
      return "silent";
    }
    if (!adopted) {
      return "not_adopted";
    }
    if (nowMs < pausedUntilMs) {
      return "paused";
    }
    return setAside ? "set_aside" : "open";
  }

  /** Returns whether neither the registry nor the declaration excludes it from new runs. */
  boolean acceptsRuns() {
    return listed && !entry.draining() && !domainClosed;
  }

  void update(WorkerEntry newEntry) {
    entry = newEntry;
    free = null;
  }

  void recordClock(long workerMs, long nowMs) {
    clockMs = workerMs;
    clockAtMs = nowMs;
  }

  boolean knowsClock() {
    return clockMs >= 0;
  }

  /** Returns whether the last reading of the worker's clock is too old to grant leases. */
  boolean isClockOutdated(long nowMs) {
    return !knowsClock() || nowMs - clockAtMs > CLOCK_VALIDITY_MS;
  }

  /** Returns the end of a lease that begins now by the worker's clock, or an earlier time. */
  long leaseUntilMs(long nowMs, long leaseMs) {
    // A worker's clock may run 2% slow.
    return clockMs + (long) ((nowMs - clockAtMs) * 0.98) + leaseMs;
  }

  /** Notes that an order or call grants a lease by the clock of the known process. */
  void grantLease(long nowMs, SchedulerTimes times) {
    leaseSentMs = nowMs;
    leaseEndMs = Math.max(leaseEndMs, nowMs + times.leaseBoundMs());
  }

  /**
   * Returns the time at which the lease of a run has expired. A run that no list shows yet may have
   * been started by a process that the owner does not know of.
   */
  long leaseEndMs(Placement placement, SchedulerTimes times) {
    return placement.listed
        ? leaseEndMs
        : Math.max(leaseEndMs, leaseSentMs + times.restartedLeaseBoundMs());
  }

  /** Returns the resources that no placement uses. */
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

  /** Removes a placement and returns whether it was present. */
  boolean remove(Placement placement, long nowMs) {
    free = null;
    endedMs.values().removeIf(sinceMs -> nowMs - sinceMs > ENDED_RETENTION_MS);
    endedMs.put(placement.run, nowMs);
    return placements.remove(placement.run, placement);
  }

  /** Returns whether a run ended at or after a time. */
  boolean hasEndedSince(RunName run, long sinceMs) {
    return endedMs.getOrDefault(run, Long.MIN_VALUE) >= sinceMs;
  }

  private Resources countFree() {
    int accelerators = entry.capacity().accelerators();
    int millicores = entry.capacity().millicores();
    int memoryMib = entry.capacity().memoryMib();
    for (Placement placement : placements.values()) {
      accelerators -= placement.resources().accelerators();
      millicores -= placement.resources().millicores();
      memoryMib -= placement.resources().memoryMib();
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
        + " domain_closed="
        + domainClosed
        + " failed="
        + failedCalls
        + " paused_until="
        + pausedUntilMs
        + " free="
        + free()
        + " runs="
        + placements.values().stream()
            .map(placement -> RunTracker.runLabel(placement) + ":" + placement.phase)
            .toList();
  }

  /** Resets the state after a restart of the worker; 0 if the next process is not known. */
  void restart(long newBornMs) {
    if (bornMs > 0 && newBornMs > 0) {
      replacedBornMs.add(bornMs);
    }
    bornMs = newBornMs;
    adopted = false;
    ends.restart();
    connection.restart();
    clockMs = -1;
    failureStreak = 0;
  }
}
