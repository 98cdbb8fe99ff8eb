package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.daemon.jobs.JobApi.CancelOutcome;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Stores cancellation marks of jobs.
 *
 * <p>A job without a row may still be stored by a submission that is on its way, so its mark is
 * stored as well. The conditions of mark and submission exclude each other: the job is cancelled in
 * whichever order they are applied.
 */
final class JobCancellation {
  private static final byte[] EMPTY = new byte[0];

  private final RowStore store;
  private final JobRows rows;
  private final CallAttempts attempts;
  private final RateLimiter unknownJobs;

  /**
   * Creates an instance.
   *
   * @param store the platform's store
   * @param rows reads the rows of jobs
   * @param attempts decides when to call the store
   * @param unknownJobs limits the marks of jobs without a row, which anybody can cause
   */
  JobCancellation(RowStore store, JobRows rows, CallAttempts attempts, RateLimiter unknownJobs) {
    this.store = store;
    this.rows = rows;
    this.attempts = attempts;
    this.unknownJobs = unknownJobs;
  }

  /** Cancels a job. */
  CompletableFuture<CancelOutcome> cancel(String job, CallTime time) {
    return attempts.whenStoreAnswers(
        job, time, () -> readAndCancel(job, time), CancelOutcome.UNAVAILABLE);
  }

  private CompletableFuture<CancelOutcome> readAndCancel(String job, CallTime time) {
    return rows.readJob(job)
        .thenCompose(
            found -> {
              if (found.unreachable()) {
                return completedFuture(CancelOutcome.UNAVAILABLE);
              }
              if (found.row().isPresent()) {
                return markJob(found.table(), found.row().get(), time);
              }
              return unknownJobs.tryAcquire(JobNode.now().ms())
                  ? markUnknownJob(job, time)
                  : completedFuture(CancelOutcome.LIMITED);
            });
  }

  private CompletableFuture<CancelOutcome> markJob(String table, Row accepted, CallTime time) {
    return commitMark(
        new RowCondition(table, accepted.key(), accepted.version()),
        time,
        CancelOutcome.CANCELLED,
        conflict ->
            completedFuture(
                conflict.row(JobTables.cancelKey(accepted.key())).isPresent()
                    ? CancelOutcome.CANCELLED
                    : CancelOutcome.GONE));
  }

  /** Marks a job in both formats, as nodes may store it in either. */
  private CompletableFuture<CancelOutcome> markUnknownJob(String job, CallTime time) {
    return markUnknownJob(JobTables.JOBS, job, time)
        .thenCompose(
            outcome ->
                outcome == CancelOutcome.GONE
                    ? markUnknownJob(JobTables.JOBS_FORMAT_1, job, time)
                    : completedFuture(outcome));
  }

  private CompletableFuture<CancelOutcome> markUnknownJob(String table, String job, CallTime time) {
    return commitMark(
        new RowCondition(table, job, 0),
        time,
        CancelOutcome.GONE,
        conflict -> {
          Optional<Row> stored = conflict.row(job);
          return stored.isPresent()
              ? markJob(table, stored.get(), time)
              : completedFuture(CancelOutcome.GONE);
        });
  }

  /**
   * Stores the mark of a job.
   *
   * @param jobRow version that the row of the job must have, 0 if there must be none
   * @param time time of the call
   * @param stored outcome if the mark is stored
   * @param onConflict returns the outcome if the condition does not hold or the mark exists
   */
  private CompletableFuture<CancelOutcome> commitMark(
      RowCondition jobRow,
      CallTime time,
      CancelOutcome stored,
      Function<CommitOutcome.Conflict, CompletableFuture<CancelOutcome>> onConflict) {
    return attempts.whenStoreAnswers(
        jobRow.key(),
        time,
        () -> attemptMark(jobRow, time, stored, onConflict),
        CancelOutcome.UNAVAILABLE);
  }

  private CompletableFuture<CancelOutcome> attemptMark(
      RowCondition jobRow,
      CallTime time,
      CancelOutcome stored,
      Function<CommitOutcome.Conflict, CompletableFuture<CancelOutcome>> onConflict) {
    String key = JobTables.cancelKey(jobRow.key());
    RowCondition unmarked = new RowCondition(jobRow.table(), key, 0);
    RowChange mark = new RowChange(jobRow.table(), key, EMPTY);
    return store
        .commit(List.of(jobRow, unmarked), List.of(mark), time.commitMs())
        .thenCompose(
            outcome -> {
              if (outcome instanceof CommitOutcome.Committed) {
                return completedFuture(stored);
              }
              if (outcome instanceof CommitOutcome.Conflict conflict) {
                return onConflict.apply(conflict);
              }
              Supplier<CompletableFuture<CancelOutcome>> repeat =
                  () -> commitMark(jobRow, time, stored, onConflict);
              return outcome instanceof CommitOutcome.Unknown
                  ? repeat.get()
                  : attempts.afterPause(time, repeat, CancelOutcome.UNAVAILABLE);
            });
  }
}
