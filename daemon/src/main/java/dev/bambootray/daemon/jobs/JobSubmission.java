package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.daemon.jobs.JobApi.SubmitOutcome;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Stores jobs that callers submit. */
final class JobSubmission {
  private final RowStore store;
  private final JobRowCodec codec;
  private final StoreFormats formats;
  private final CallAttempts attempts;
  private final JobRows rows;
  private final OwnerRowStore ownerRows;

  JobSubmission(
      RowStore store,
      JobRowCodec codec,
      StoreFormats formats,
      CallAttempts attempts,
      JobRows rows,
      OwnerRowStore ownerRows) {
    this.store = store;
    this.codec = codec;
    this.formats = formats;
    this.attempts = attempts;
    this.rows = rows;
    this.ownerRows = ownerRows;
  }

  /** Stores a job unless the pool is full. */
  CompletableFuture<SubmitOutcome> submit(JobSpec job, CallTime time) {
    boolean full =
        ownerRows.newest().filter(owner -> AdmissionLimit.isFullFor(job, owner)).isPresent();
    return full ? acceptIfStored(job, time) : submit(job, time, false);
  }

  /** Refuses a job, but for one that is stored already and is only sent again. */
  private CompletableFuture<SubmitOutcome> acceptIfStored(JobSpec job, CallTime time) {
    return attempts.whenStoreAnswers(
        job.id(),
        time,
        () ->
            rows.readJob(job.id())
                .thenApply(
                    found -> {
                      if (found.unreachable()) {
                        return SubmitOutcome.UNKNOWN;
                      }
                      return found.row().isPresent()
                          ? SubmitOutcome.ACCEPTED
                          : SubmitOutcome.POOL_FULL;
                    }),
        SubmitOutcome.NOT_STORED);
  }

  private CompletableFuture<SubmitOutcome> submit(JobSpec job, CallTime time, boolean maybeStored) {
    SubmitOutcome failure = maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED;
    return attempts.whenStoreAnswers(
        job.id(), time, () -> attemptSubmit(job, time, maybeStored), failure);
  }

  private CompletableFuture<SubmitOutcome> attemptSubmit(
      JobSpec job, CallTime time, boolean maybeStored) {
    if (!formats.isReady()) {
      return completedFuture(maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED);
    }
    String table = formats.jobs();
    String cancelKey = JobTables.cancelKey(job.id());
    List<RowCondition> absent =
        List.of(new RowCondition(table, job.id(), 0), new RowCondition(table, cancelKey, 0));
    RowChange write = new RowChange(table, job.id(), codec.encode(job));
    return store
        .commit(absent, List.of(write), time.commitMs())
        .thenCompose(
            outcome -> {
              if (outcome instanceof CommitOutcome.Committed) {
                return completedFuture(SubmitOutcome.ACCEPTED);
              }
              if (outcome instanceof CommitOutcome.Conflict conflict) {
                return completedFuture(outcomeOf(job.id(), conflict));
              }
              if (outcome instanceof CommitOutcome.Unknown) {
                return submit(job, time, true);
              }
              return attempts.afterPause(
                  time,
                  () -> submit(job, time, maybeStored),
                  maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED);
            });
  }

  /** Tells whether an earlier attempt stored the job, or whether it was cancelled before. */
  private static SubmitOutcome outcomeOf(String job, CommitOutcome.Conflict conflict) {
    if (conflict.row(job).isPresent()) {
      return SubmitOutcome.ACCEPTED;
    }
    return conflict.row(JobTables.cancelKey(job)).isPresent()
        ? SubmitOutcome.CANCELLED
        : SubmitOutcome.UNKNOWN;
  }
}
