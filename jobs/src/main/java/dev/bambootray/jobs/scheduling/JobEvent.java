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

/** Input of the scheduler. */
public sealed interface JobEvent {

  /**
   * The node became the owner and has read the state of the owner before it.
   *
   * @param declaration configuration in force
   * @param jobs accepted jobs
   * @param records what is kept of them, by job; a job without a record has not been looked at
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

  /** A worker appeared in the registry or changed there. */
  record WorkerListed(WorkerEntry worker) implements JobEvent {}

  /** A worker left the registry. */
  record WorkerUnlisted(String worker) implements JobEvent {}

  /** A new configuration is in force. */
  record DeclarationChanged(JobDeclaration declaration) implements JobEvent {}

  /** A worker answered an order to start, or did not. */
  record StartAnswered(String worker, RunName run, StartReply reply) implements JobEvent {}

  /**
   * A worker answered an order to stop, or did not.
   *
   * @param worker the worker
   * @param run the run
   * @param confirmed whether it has taken the order
   */
  record StopAnswered(String worker, RunName run, boolean confirmed) implements JobEvent {}

  /**
   * A worker answered a hold, or did not.
   *
   * @param worker the worker
   * @param reply the answer
   * @param sentMs when the call was sent
   * @param look whether it was a call that does not wait for ends
   */
  record HoldAnswered(String worker, HoldReply reply, long sentMs, boolean look)
      implements JobEvent {}

  /** A batch of records is in the store. */
  record Durable(long batch) implements JobEvent {}

  /** Time has passed. */
  record Tick() implements JobEvent {}
}
