package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;

/** An action that the scheduler requests. */
public sealed interface JobEffect {

  /**
   * Writes records to the store. {@link JobEvent.Durable} confirms the batch; the next batch is
   * requested only after that.
   *
   * @param batch number of the batch
   * @param records records of changed jobs
   * @param removedJobs jobs whose records must be removed
   */
  record Persist(long batch, List<JobRecord> records, List<String> removedJobs)
      implements JobEffect {
    /** Copies the lists. */
    public Persist {
      records = List.copyOf(records);
      removedJobs = List.copyOf(removedJobs);
    }
  }

  /**
   * Removes the rows of a job that ended long ago. {@link JobEvent.JobRowsRemoved} confirms it;
   * only then may the record be removed, since a job without a record would run again.
   */
  record RemoveJobRows(String job) implements JobEffect {}

  /**
   * Removes the cancellation mark of a job that was never stored; the mark of a job that is stored
   * stays. {@link JobEvent.CancelMarkRemoved} confirms it.
   */
  record RemoveCancelMark(String job) implements JobEffect {}

  /**
   * Starts a run on a worker.
   *
   * @param worker the worker
   * @param run the run
   * @param payload payload of the job
   * @param untilMs end of the lease by the worker's clock
   * @param checkpoint checkpoint to resume from, or empty
   */
  record StartRun(WorkerEntry worker, RunName run, String payload, long untilMs, String checkpoint)
      implements JobEffect {}

  /**
   * Stops a run.
   *
   * @param worker the worker
   * @param run the run
   * @param cause why the run is stopped
   * @param repeated whether an earlier stop order was not confirmed
   */
  record StopRun(WorkerEntry worker, RunName run, StopCause cause, boolean repeated)
      implements JobEffect {}

  /**
   * Lists the runs of a worker and extends their lease.
   *
   * @param worker the worker
   * @param acknowledged number of the newest end that the worker may discard
   * @param connection identity of the connection on which alone the call may be sent, 0 for any
   * @param untilMs end of the lease by the worker's clock, 0 to leave it unchanged
   * @param waitMs how long the worker may delay the answer until a run ends
   * @param refresh whether the call runs in parallel with a long poll at the same address
   */
  record HoldWorker(
      WorkerEntry worker,
      long acknowledged,
      long connection,
      long untilMs,
      long waitMs,
      boolean refresh)
      implements JobEffect {}

  /** Stops scheduling, because another owner has taken over. */
  record StepDown(String reason) implements JobEffect {}

  /**
   * Writes a decision to the log.
   *
   * @param subject identifier of the job or worker concerned
   * @param text the decision and its inputs
   */
  record Decided(String subject, String text) implements JobEffect {}
}
