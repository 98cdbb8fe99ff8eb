package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobRecord;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects changed jobs into batches of records. Only one batch is written at a time; changes
 * during the write go into the next batches, so that a burst needs few transactions.
 *
 * <p>Each change belongs to one batch from the start, so that it is known to be stored as soon as
 * that batch is, however many changes follow it.
 */
final class RecordBatcher {
  /** Largest number of jobs in a batch; a transaction is limited to 100 entries. */
  private static final int MAX_JOBS = 60;

  private static final int MAX_REMOVALS = 10;

  /** Changed jobs in the order of their batches, with the number of the batch of each. */
  private final Map<Job, Long> changed = new LinkedHashMap<>();

  private final Set<String> removed = new LinkedHashSet<>();

  /** Number of the batch that is written next. */
  private long next = 1;

  /** Number of the batch that further changed jobs go into, and the jobs that it has. */
  private long filling = 1;

  private int jobsInFilling;
  private long durable;
  private boolean inFlight;
  private long takenMs;

  /** Time at which the newest batch that is stored was taken: the owner owned the pool then. */
  private long confirmedMs = Long.MIN_VALUE / 2;

  /** Marks a job as changed and returns the batch that will contain the change. */
  long markChanged(Job job) {
    return changed.computeIfAbsent(job, key -> assign());
  }

  private long assign() {
    if (jobsInFilling == MAX_JOBS) {
      beginNextBatch();
    }
    jobsInFilling++;
    return filling;
  }

  private void beginNextBatch() {
    filling++;
    jobsInFilling = 0;
  }

  void markRemoved(String job) {
    removed.add(job);
  }

  /** Returns the batch after which all changes so far are in the store. */
  long latestChangeBatch() {
    return changed.isEmpty() ? next - 1 : filling;
  }

  boolean isDurable(long batch) {
    return batch <= durable;
  }

  boolean hasBatchToWrite() {
    return !inFlight && (!changed.isEmpty() || !removed.isEmpty());
  }

  /** Returns whether a batch that was taken at or after a time is stored. */
  boolean isConfirmed(long sinceMs) {
    return confirmedMs >= sinceMs;
  }

  /** Lets a record be stored again if nothing else is, to find out whether the owner still is. */
  void requestConfirmation(Job job) {
    if (!inFlight && changed.isEmpty()) {
      markChanged(job);
    }
  }

  /** Takes the next batch to write. */
  JobEffect.Persist takeBatch(long nowMs) {
    takenMs = nowMs;
    List<JobRecord> records = new ArrayList<>();
    changed
        .entrySet()
        .removeIf(
            entry -> {
              boolean taken = entry.getValue() == next;
              if (taken) {
                records.add(entry.getKey().record());
              }
              return taken;
            });
    List<String> gone = removed.stream().limit(MAX_REMOVALS).toList();
    gone.forEach(removed::remove);
    inFlight = true;
    JobEffect.Persist persist = new JobEffect.Persist(next, records, gone);
    if (filling == next) {
      beginNextBatch();
    }
    next++;
    return persist;
  }

  /** Marks the batch in flight as stored. */
  void onDurable(long batch) {
    inFlight = false;
    durable = Math.max(durable, batch);
    confirmedMs = takenMs;
  }
}
