package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Keeps the records and cancellations of jobs like the platform's store, which may be away. */
final class SimulatedStore {
  /** Usual time of a transaction. */
  static final long COMMIT_MS = 30;

  private final Map<String, JobRecord> records = new HashMap<>();
  private final Set<String> cancelled = new HashSet<>();
  private long unavailableUntilMs;
  private long commitMs = COMMIT_MS;

  /** Lets all transactions wait until a time. */
  void makeUnavailableUntil(long untilMs) {
    unavailableUntilMs = untilMs;
  }

  /** Sets the time of each transaction that begins from now on. */
  void setCommitMs(long value) {
    commitMs = value;
  }

  /** Returns the time that a transaction takes which begins now. */
  long commitMs(long nowMs) {
    return Math.max(commitMs, unavailableUntilMs - nowMs);
  }

  /** Stores a record and returns whether its job has reached a final phase with it. */
  boolean put(JobRecord saved) {
    JobRecord before = records.put(saved.job(), saved);
    return saved.phase().isFinal() && (before == null || !before.phase().isFinal());
  }

  void cancel(String job) {
    cancelled.add(job);
  }

  Map<String, JobRecord> records() {
    return records;
  }

  Set<String> cancelled() {
    return cancelled;
  }

  /** Returns the phase of a job. */
  JobPhase phase(String job) {
    JobRecord saved = records.get(job);
    return saved == null ? JobPhase.QUEUED : saved.phase();
  }
}
