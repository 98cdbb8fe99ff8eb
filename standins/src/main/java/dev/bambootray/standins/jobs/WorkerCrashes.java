package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Crashes simulated workers. The machine of a crashed worker returns as another worker at the same
 * address, which then refuses the calls meant for the crashed one, or under its identifier.
 */
final class WorkerCrashes {
  /** Time from the start of a task that crashes its worker to the crash, as on the platform. */
  private static final long CRASH_DELAY_MS = 10;

  /** Time for which the registry lists a crashed worker. */
  private static final long UNLISTED_AFTER_MS = 3_000;

  /** Time after which the machine of a crashed worker is back. */
  private static final long BACK_AFTER_MS = 3_400;

  private static final long REGISTERED_AFTER_MS = 100;

  private final PoolSimulation pool;
  private final Set<SimulatedPoolWorker> stillListed = new HashSet<>();
  private final Set<SimulatedPoolWorker> expired = new HashSet<>();
  private int replacements;
  private int count;
  private boolean keepsIdentifiers;

  WorkerCrashes(PoolSimulation pool) {
    this.pool = pool;
  }

  /** Returns whether the registry lists a worker. */
  boolean isListed(SimulatedPoolWorker worker) {
    return worker.isGone() ? stillListed.contains(worker) : !expired.contains(worker);
  }

  /** Returns the entries of the workers that the registry lists. */
  List<WorkerEntry> listed() {
    return pool.workers().stream().filter(this::isListed).map(SimulatedPoolWorker::entry).toList();
  }

  /** Removes the entry of a worker that works on, as after an outage of the store. */
  void expireEntry(SimulatedPoolWorker worker) {
    expired.add(worker);
    pool.recordDisturbance(0);
    pool.post(new JobEvent.WorkerUnlisted(worker.entry().id()));
  }

  /** Brings back the entry of a worker that has expired. */
  void renewEntry(SimulatedPoolWorker worker) {
    expired.remove(worker);
    pool.recordDisturbance(0);
    list(worker);
  }

  /** Returns how many workers have crashed. */
  int count() {
    return count;
  }

  /** Lets crashed workers return under their identifiers from now on. */
  void keepIdentifiers() {
    keepsIdentifiers = true;
  }

  /** Ends a worker whose machine is another worker at once, which the registry shows late. */
  void replaceBeforeUnlisting(SimulatedPoolWorker worker) {
    pool.recordDisturbance(UNLISTED_AFTER_MS);
    worker.terminate();
    stillListed.add(worker);
    pool.schedule(UNLISTED_AFTER_MS, () -> unlist(worker));
    replace(worker);
  }

  /** Crashes a worker shortly after it has started a task. */
  void crashSoon(SimulatedPoolWorker worker) {
    pool.schedule(CRASH_DELAY_MS, () -> crash(worker));
  }

  /** Crashes a worker; all its runs are lost. */
  void crash(SimulatedPoolWorker worker) {
    if (worker.isGone()) {
      return;
    }
    count++;
    pool.recordDisturbance(BACK_AFTER_MS);
    List<RunName> lost = List.copyOf(worker.runs());
    worker.terminate();
    lost.forEach(run -> pool.workers().forEach(other -> other.endGangOf(run)));
    if (keepsIdentifiers) {
      restart(worker, BACK_AFTER_MS, REGISTERED_AFTER_MS);
      return;
    }
    stillListed.add(worker);
    pool.schedule(UNLISTED_AFTER_MS, () -> unlist(worker));
    pool.schedule(BACK_AFTER_MS, () -> replace(worker));
  }

  private void unlist(SimulatedPoolWorker worker) {
    stillListed.remove(worker);
    pool.post(new JobEvent.WorkerUnlisted(worker.entry().id()));
  }

  /** Restarts a worker under its identifier; all its runs are lost. */
  void restart(SimulatedPoolWorker ended, long downMs, long registeredAfterMs) {
    ended.terminate();
    pool.schedule(
        downMs,
        () -> {
          SimulatedPoolWorker started = ended.restarted(pool.nowMs());
          pool.add(started);
          pool.schedule(registeredAfterMs, () -> list(started));
        });
  }

  private void list(SimulatedPoolWorker worker) {
    if (!worker.isGone()) {
      pool.post(new JobEvent.WorkerListed(worker.entry()));
    }
  }

  private void replace(SimulatedPoolWorker worker) {
    WorkerEntry entry = WorkerEntries.replacement(worker.entry(), "r" + replacements++);
    SimulatedPoolWorker started = new SimulatedPoolWorker(entry, pool);
    worker.setReplacement(started);
    pool.add(started);
    pool.post(new JobEvent.WorkerListed(entry));
  }
}
