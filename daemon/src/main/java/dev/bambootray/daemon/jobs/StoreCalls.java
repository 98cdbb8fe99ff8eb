package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.LeaseEffect;
import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.scheduling.JobEvent;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Makes the calls of the store that the lease and the scheduler request. */
final class StoreCalls {
  private final OwnerRowStore rows;
  private final StoreFormats formats;
  private final JobMetrics metrics;
  private final Executor control;
  private final Consumer<LeaseEvent> leaseAnswers;
  private final CallAnswers schedulerAnswers;

  /** Number of the newest commit; used on the control thread only. */
  private long newestCommit;

  /**
   * Creates an instance.
   *
   * @param rows reads and writes the rows
   * @param formats knows whether a newer format is in use
   * @param metrics records the time of transactions
   * @param control runs actions on the control thread
   * @param leaseAnswers receives the answers to calls of the lease, on the control thread
   * @param schedulerAnswers receives the answers to calls of the scheduler
   */
  StoreCalls(
      OwnerRowStore rows,
      StoreFormats formats,
      JobMetrics metrics,
      Executor control,
      Consumer<LeaseEvent> leaseAnswers,
      CallAnswers schedulerAnswers) {
    this.rows = rows;
    this.formats = formats;
    this.metrics = metrics;
    this.control = control;
    this.leaseAnswers = leaseAnswers;
    this.schedulerAnswers = schedulerAnswers;
  }

  /** Reads the owner row. */
  void readOwner() {
    var unused = rows.read().thenAcceptAsync(leaseAnswers, control);
  }

  /**
   * Writes the owner row and records in one transaction. The lease gets no answer after it has
   * requested another commit, as it would take it for the answer to that one.
   */
  void commit(LeaseEffect.Commit commit, long timeoutMs) {
    long startMs = JobNode.now().ms();
    newestCommit++;
    long number = newestCommit;
    var unused =
        rows.commit(commit, timeoutMs)
            .thenAccept(
                event -> {
                  boolean answered = !(event instanceof LeaseEvent.CommitFailed);
                  metrics.recordCommit(JobNode.now().ms() - startMs, answered);
                  control.execute(
                      () -> {
                        if (number == newestCommit) {
                          leaseAnswers.accept(event);
                        }
                      });
                });
  }

  /** Removes the rows of a job; there is an answer only if they are certainly removed. */
  void removeJobRows(String job, long epoch) {
    if (formats.isNewerFound()) {
      return; // A newer build may have stored rows of this job that this one does not know.
    }
    var unused =
        rows.removeJobRows(job)
            .thenAccept(
                removed -> {
                  if (removed) {
                    schedulerAnswers.onAnswer(epoch, new JobEvent.JobRowsRemoved(job));
                  }
                });
  }

  /**
   * Removes the cancellation mark of a job that is not stored; answers as for the rows of a job.
   */
  void removeCancelMark(String job, long epoch) {
    if (formats.isNewerFound()) {
      return;
    }
    var unused =
        rows.removeCancelMark(job)
            .thenAccept(
                removed -> {
                  if (removed) {
                    schedulerAnswers.onAnswer(epoch, new JobEvent.CancelMarkRemoved(job));
                  }
                });
  }
}
