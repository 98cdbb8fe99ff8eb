package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Template;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.ports.JobHintSender.Hint;
import dev.bambootray.ports.RowStore;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Accepts, reads and cancels jobs on behalf of callers.
 *
 * <p>It works on the store alone, so every node can serve callers, not only the owner of the pool.
 */
public final class JobApi {
  /** Limit of cancellations of jobs without a row: each leaves a mark for two minutes. */
  private static final int UNKNOWN_JOBS_PER_S = 5;

  private static final int UNKNOWN_JOBS_BURST = 100;

  private final JobRowCodec codec;
  private final DeclarationFollower declarations;
  private final OwnerRowStore ownerRows;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private final OwnerHintSender hints;
  private final JobRows rows;
  private final CallAttempts attempts;
  private final JobSubmission submission;
  private final JobCancellation cancellation;

  JobApi(
      RowStore store,
      ScheduledExecutorService executor,
      JobRowCodec codec,
      DeclarationFollower declarations,
      OwnerRowStore owner,
      DecisionLog log,
      JobMetrics metrics,
      OwnerHintSender hints,
      StoreFormats formats) {
    this.codec = codec;
    this.declarations = declarations;
    this.ownerRows = owner;
    this.log = log;
    this.metrics = metrics;
    this.hints = hints;
    rows = new JobRows(store, formats, log);
    attempts = new CallAttempts(store, executor, owner, log);
    submission = new JobSubmission(store, codec, formats, attempts, rows, owner);
    RateLimiter unknownJobs = new RateLimiter(UNKNOWN_JOBS_PER_S, UNKNOWN_JOBS_BURST);
    cancellation = new JobCancellation(store, rows, attempts, unknownJobs);
  }

  /** Returns the declaration in force, or empty while it is unknown or may be out of date. */
  public Optional<JobDeclaration> declaration() {
    return declarations.inForce(JobNode.now());
  }

  /** Returns the metrics of this node. */
  public JobMetrics metrics() {
    return metrics;
  }

  /** Returns the decision log of this node. */
  public DecisionLog log() {
    return log;
  }

  /**
   * Stores a job and sends a hint about it to the owner of the pool.
   *
   * @param job the job
   * @param timeMs how long the caller waits, in milliseconds
   */
  public CompletableFuture<SubmitOutcome> submit(JobSpec job, long timeMs) {
    return submission
        .submit(job, CallTime.startingNow(timeMs))
        .thenApply(
            outcome -> {
              log.line(
                  "front:",
                  job.id(),
                  "submit template="
                      + job.template()
                      + " workspace="
                      + job.workspace()
                      + " steps="
                      + job.steps().size()
                      + " outcome="
                      + outcome);
              if (outcome == SubmitOutcome.ACCEPTED) {
                hints.send(new Hint(job.id(), false));
              }
              return outcome;
            });
  }

  /**
   * Returns the state of a job.
   *
   * @param job the job
   * @param timeMs how long the caller waits, in milliseconds
   */
  public CompletableFuture<JobView> state(String job, long timeMs) {
    CallTime time = CallTime.startingNow(timeMs);
    return attempts.whenStoreAnswers(job, time, () -> readState(job), JobView.UNAVAILABLE);
  }

  private CompletableFuture<JobView> readState(String job) {
    return rows.read(JobTables.RECORDS, job)
        .thenCompose(
            found -> {
              if (found.unreachable()) {
                return completedFuture(JobView.UNAVAILABLE);
              }
              if (found.row().isPresent()) {
                return completedFuture(
                    codec
                        .decodeRecord(found.row().get().value())
                        .fold(error -> JobView.UNAVAILABLE, saved -> JobView.of(saved.phase())));
              }
              return rows.readJob(job).thenApply(JobApi::viewWithoutRecord);
            });
  }

  /**
   * Stores a cancellation mark for a job and sends a hint about it to the owner of the pool.
   *
   * @param job the job
   * @param timeMs how long the caller waits, in milliseconds
   */
  public CompletableFuture<CancelOutcome> cancel(String job, long timeMs) {
    return cancellation
        .cancel(job, CallTime.startingNow(timeMs))
        .thenApply(
            outcome -> {
              log.line("front:", job, "cancel outcome=" + outcome);
              if (outcome == CancelOutcome.CANCELLED) {
                hints.send(new Hint(job, true));
              }
              return outcome;
            });
  }

  /**
   * Returns the number of accepted jobs of a template that have not begun, or empty if no owner row
   * is known.
   *
   * <p>The owner of the pool publishes the number with its row, so it may be out of date.
   */
  public Optional<Long> pending(Template template) {
    return ownerRows.newest().map(row -> row.pending().getOrDefault(template.name(), 0L));
  }

  private static JobView viewWithoutRecord(JobRows.Found found) {
    if (found.unreachable()) {
      return JobView.UNAVAILABLE;
    }
    return found.row().isPresent() ? JobView.of(JobPhase.QUEUED) : JobView.GONE;
  }

  /** Outcome of submitting a job. */
  public enum SubmitOutcome {
    /** The job is stored. */
    ACCEPTED,
    /** The job is not stored, and this attempt will never run it. */
    NOT_STORED,
    /** The job may or may not be stored. */
    UNKNOWN,
    /** The job was cancelled before it was stored, and will never run. */
    CANCELLED,
    /** The job is not stored, because the pool holds as many jobs as its owner can. */
    POOL_FULL
  }

  /** Outcome of cancelling a job. */
  public enum CancelOutcome {
    /** The cancellation is stored. */
    CANCELLED,
    /** There is no such job, and a submission of it that is still on its way will not store it. */
    GONE,
    /** The cancellation may or may not be stored. */
    UNAVAILABLE,
    /** The cancellation of an unknown job is not stored, because this node got too many of them. */
    LIMITED
  }
}
