package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobRecord;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects changed jobs into batches of records. Only one batch is written at a time; changes
 * during the write go into the next batch, so that a burst needs few transactions.
 */
final class RecordBatcher {
  /** Largest number of jobs in a batch; a transaction is limited to 100 entries. */
  private static final int MAX_JOBS = 60;

  private static final int MAX_REMOVALS = 10;

  private final Set<Job> changed = new LinkedHashSet<>();
  private final Set<String> removed = new LinkedHashSet<>();
  private long next = 1;
  private long durable;
  private boolean inFlight;

  /** Marks a job as changed and returns the batch that will contain the change. */
  long markChanged(Job job) {
    changed.add(job);
    return next;
  }

  void markRemoved(String job) {
    removed.add(job);
  }

  /** Returns the batch after which all changes so far are in the store. */
  long latestChangeBatch() {
    return changed.isEmpty() ? next - 1 : next;
  }

  boolean isDurable(long batch) {
    return batch <= durable;
  }

  boolean hasBatchToWrite() {
    return !inFlight && (!changed.isEmpty() || !removed.isEmpty());
  }

  JobEffect.Persist takeBatch() {
    List<JobRecord> records = new ArrayList<>();
    boolean all = changed.size() <= MAX_JOBS;
    for (Job job : List.copyOf(changed).subList(0, Math.min(MAX_JOBS, changed.size()))) {
      records.add(job.record());
      changed.remove(job);
    }
    List<String> gone = removed.stream().limit(MAX_REMOVALS).toList();
    gone.forEach(removed::remove);
    inFlight = true;
    JobEffect.Persist persist = new JobEffect.Persist(next, records, gone);
    if (all) {
      next++;
    }
    return persist;
  }

  /** Marks the batch in flight as stored. */
  void onDurable(long batch) {
    inFlight = false;
    // A batch that exceeded the limit keeps its number until its remaining jobs are written.
    durable = Math.max(durable, batch < next ? batch : batch - 1);
  }
}
