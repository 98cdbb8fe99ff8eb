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
final class RecordBatches {
  /**
   * Largest number of jobs in a batch. A transaction is limited to 100 entries, of which the
   * removal of a job takes three.
   */
  private static final int MOST_JOBS = 60;

  private static final int MOST_FORGOTTEN = 10;

  private final Set<Job> changed = new LinkedHashSet<>();
  private final Set<String> forgotten = new LinkedHashSet<>();
  private long next = 1;
  private long durable;
  private boolean inFlight;

  /** Marks a job as changed and returns the batch that will contain the change. */
  long change(Job job) {
    changed.add(job);
    return next;
  }

  void forget(String job) {
    forgotten.add(job);
  }

  /** Returns the batch after which all changes so far are in the store. */
  long covering() {
    return changed.isEmpty() ? next - 1 : next;
  }

  boolean isDurable(long batch) {
    return batch <= durable;
  }

  boolean mayWrite() {
    return !inFlight && (!changed.isEmpty() || !forgotten.isEmpty());
  }

  JobEffect.Persist write() {
    List<JobRecord> records = new ArrayList<>();
    boolean all = changed.size() <= MOST_JOBS;
    for (Job job : List.copyOf(changed).subList(0, Math.min(MOST_JOBS, changed.size()))) {
      records.add(job.record());
      changed.remove(job);
    }
    List<String> gone = forgotten.stream().limit(MOST_FORGOTTEN).toList();
    gone.forEach(forgotten::remove);
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
