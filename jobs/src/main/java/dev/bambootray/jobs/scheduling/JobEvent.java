package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An input of the scheduler. */
public sealed interface JobEvent {

  /**
   * The node became the owner and has read the state that the previous owner stored.
   *
   * @param declaration declaration in force
   * @param jobs accepted jobs
   * @param records stored records by job; a job without a record was not handled by any owner yet
   * @param cancelled jobs that their callers cancelled
   * @param workers workers in the registry
   */
  record TookOver(
      JobDeclaration declaration,
      List<JobSpec> jobs,
      Map<String, JobRecord> records,
      Set<String> cancelled,
      List<WorkerEntry> workers)
      implements JobEvent {
    /** Copies the collections. */
    public TookOver {
      jobs = List.copyOf(jobs);
      records = Map.copyOf(records);
      cancelled = Set.copyOf(cancelled);
      workers = List.copyOf(workers);
    }
  }

  /** A job was accepted. */
  record Accepted(JobSpec job) implements JobEvent {}

  /** A caller cancelled a job. */
  record CancelRequested(String job) implements JobEvent {}

  /** A worker was added to the registry or its entry changed. */
  record WorkerListed(WorkerEntry worker) implements JobEvent {}

  /** A worker was removed from the registry. */
  record WorkerUnlisted(String worker) implements JobEvent {}

  /** A new declaration is in force. */
  record DeclarationChanged(JobDeclaration declaration) implements JobEvent {}

  /**
   * The declaration is known to be the newest one as of a time.
   *
   * @param asOfMs the time, or {@link #NEVER} if the declaration must be read again
   */
  record DeclarationConfirmed(long asOfMs) implements JobEvent {
    /** Marks a declaration that may have been replaced at any time. */
    public static final long NEVER = Long.MIN_VALUE;
  }

  /** The outcome of a call to a worker. */
  sealed interface CallAnswered extends JobEvent {
    /** Returns the worker as the call named it; its process may have ended since. */
    WorkerEntry worker();
  }

  /** A start order was answered, or has failed without an answer. */
  record StartAnswered(WorkerEntry worker, RunName run, StartReply reply) implements CallAnswered {}

  /**
   * A stop order was answered, or has failed without an answer.
   *
   * @param worker the worker as the order named it
   * @param run the run
   * @param confirmed whether the worker accepted the order
   */
  record StopAnswered(WorkerEntry worker, RunName run, boolean confirmed) implements CallAnswered {}

  /**
   * A hold call was answered, or has failed without an answer.
   *
   * @param worker the worker as the call named it
   * @param reply the outcome
   * @param sentMs time at which the call was sent
   * @param refresh whether the call ran in parallel with a long poll, to refresh the list of runs
   */
  record HoldAnswered(WorkerEntry worker, HoldReply reply, long sentMs, boolean refresh)
      implements CallAnswered {}

  /** A batch of records is in the store. */
  record Durable(long batch) implements JobEvent {}

  /** The rows of a job were removed as {@link JobEffect.RemoveJobRows} requests. */
  record JobRowsRemoved(String job) implements JobEvent {}

  /** The cancellation mark of a job that is not stored was removed, or belongs to a stored job. */
  record CancelMarkRemoved(String job) implements JobEvent {}

  /** Time has passed. */
  record Tick() implements JobEvent {}
}
