package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;

/** What the scheduler asks for. */
public sealed interface JobEffect {

  /**
   * Write records; answered by {@link JobEvent.Durable} once they are in the store. The next batch
   * follows only after that.
   *
   * @param batch number of the batch
   * @param records records to write
   * @param forgotten jobs whose rows are to be removed
   */
  record Persist(long batch, List<JobRecord> records, List<String> forgotten) implements JobEffect {
    /** Copies the lists. */
    public Persist {
      records = List.copyOf(records);
      forgotten = List.copyOf(forgotten);
    }
  }

  /**
   * Start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload text of the job
   * @param untilMs end of the lease by the worker's clock
   * @param checkpoint progress to resume from, or empty
   */
  record StartRun(WorkerEntry worker, RunName run, String payload, long untilMs, String checkpoint)
      implements JobEffect {}

  /**
   * Stop a run.
   *
   * @param worker the worker
   * @param run the run
   * @param cause why
   * @param repeated whether an earlier order had no answer
   */
  record StopRun(WorkerEntry worker, RunName run, StopCause cause, boolean repeated)
      implements JobEffect {}

  /**
   * List the runs of a worker and extend their lease.
   *
   * @param worker the worker
   * @param acknowledged newest end that the worker may forget
   * @param untilMs end of the lease by the worker's clock, 0 to leave it as it is
   * @param waitMs how long the worker may wait for an end
   * @param look whether the call is beside the one that waits for ends
   */
  record HoldWorker(WorkerEntry worker, long acknowledged, long untilMs, long waitMs, boolean look)
      implements JobEffect {}

  /** Another owner has taken over: stop scheduling. */
  record StepDown(String reason) implements JobEffect {}

  /**
   * A decision for the log.
   *
   * @param subject job or worker that it concerns
   * @param text what was decided, from which inputs
   */
  record Decided(String subject, String text) implements JobEffect {}
}
