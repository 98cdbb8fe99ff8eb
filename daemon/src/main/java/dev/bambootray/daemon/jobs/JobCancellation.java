package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.daemon.jobs.JobApi.CancelOutcome;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Stores cancellation marks of jobs. */
final class JobCancellation {
  private static final byte[] EMPTY = new byte[0];

  private final RowStore store;
  private final JobRows rows;
  private final CallAttempts attempts;

  JobCancellation(RowStore store, JobRows rows, CallAttempts attempts) {
    this.store = store;
    this.rows = rows;
    this.attempts = attempts;
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
              return found.row().isEmpty()
                  ? completedFuture(CancelOutcome.GONE)
                  : storeCancelMark(found.table(), found.row().get(), time);
            });
  }

  private CompletableFuture<CancelOutcome> storeCancelMark(
      String table, Row accepted, CallTime time) {
    return attempts.whenStoreAnswers(
        accepted.key(),
        time,
        () -> attemptCancel(table, accepted, time),
        CancelOutcome.UNAVAILABLE);
  }

  private CompletableFuture<CancelOutcome> attemptCancel(
      String table, Row accepted, CallTime time) {
    String key = JobTables.cancelKey(accepted.key());
    List<RowCondition> conditions =
        List.of(
            new RowCondition(table, accepted.key(), accepted.version()),
            new RowCondition(table, key, 0));
    return store
        .commit(conditions, List.of(new RowChange(table, key, EMPTY)), time.commitMs())
        .thenCompose(
            outcome -> {
              if (outcome instanceof CommitOutcome.Committed) {
                return completedFuture(CancelOutcome.CANCELLED);
              }
              if (outcome instanceof CommitOutcome.Conflict conflict) {
                boolean marked =
                    conflict.rows().stream()
                        .anyMatch(row -> row.key().equals(key) && !row.removed());
                return completedFuture(marked ? CancelOutcome.CANCELLED : CancelOutcome.GONE);
              }
              return outcome instanceof CommitOutcome.Unknown
                  ? storeCancelMark(table, accepted, time)
                  : attempts.afterPause(
                      time,
                      () -> storeCancelMark(table, accepted, time),
                      CancelOutcome.UNAVAILABLE);
            });
  }
}
