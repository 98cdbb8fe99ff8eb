package dev.bambootray.daemon.jobs;

import static java.util.concurrent.CompletableFuture.completedFuture;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Template;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.JobHintSender.Hint;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Accepts, reads and cancels jobs on behalf of callers.
 *
 * <p>It works on the store alone, so every node can serve callers, not only the owner of the pool.
 */
public final class JobApi {
  private static final byte[] EMPTY = new byte[0];

  private final RowStore store;
  private final JobRowCodec codec;
  private final DeclarationFollower declarations;
  private final OwnerRowStore ownerRows;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private final OwnerHintSender hints;
  private final StoreFormats formats;
  private final ScheduledExecutorService executor;

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
    this.store = store;
    this.executor = executor;
    this.codec = codec;
    this.declarations = declarations;
    this.ownerRows = owner;
    this.log = log;
    this.metrics = metrics;
    this.hints = hints;
    this.formats = formats;
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
    return submit(job, CallTime.startingNow(timeMs), false)
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

  private CompletableFuture<SubmitOutcome> submit(JobSpec job, CallTime time, boolean maybeStored) {
    SubmitOutcome failure = maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED;
    return whenStoreAnswers(job.id(), time, () -> attemptSubmit(job, time, maybeStored), failure);
  }

  private CompletableFuture<SubmitOutcome> attemptSubmit(
      JobSpec job, CallTime time, boolean maybeStored) {
    if (!formats.isReady()) {
      return completedFuture(maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED);
    }
    String table = formats.jobs();
    RowCondition absent = new RowCondition(table, job.id(), 0);
    RowChange write = new RowChange(table, job.id(), codec.encode(job));
    return store
        .commit(List.of(absent), List.of(write), time.commitMs())
        .thenCompose(
            outcome -> {
              if (outcome instanceof CommitOutcome.Committed
                  || outcome instanceof CommitOutcome.Conflict) {
                // A conflict means that an earlier attempt stored this identifier.
                return completedFuture(SubmitOutcome.ACCEPTED);
              }
              if (outcome instanceof CommitOutcome.Unknown) {
                return submit(job, time, true);
              }
              return afterPause(
                  time,
                  () -> submit(job, time, maybeStored),
                  maybeStored ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_STORED);
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
    return whenStoreAnswers(job, time, () -> readState(job), JobView.UNAVAILABLE);
  }

  private CompletableFuture<JobView> readState(String job) {
    return read(JobTables.RECORDS, job)
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
              return readJob(job).thenApply(JobApi::viewWithoutRecord);
            });
  }

  /**
   * Stores a cancellation mark for a job and sends a hint about it to the owner of the pool.
   *
   * @param job the job
   * @param timeMs how long the caller waits, in milliseconds
   */
  public CompletableFuture<CancelOutcome> cancel(String job, long timeMs) {
    CallTime time = CallTime.startingNow(timeMs);
    return whenStoreAnswers(job, time, () -> readAndCancel(job, time), CancelOutcome.UNAVAILABLE)
        .thenApply(
            outcome -> {
              log.line("front:", job, "cancel outcome=" + outcome);
              if (outcome == CancelOutcome.CANCELLED) {
                hints.send(new Hint(job, true));
              }
              return outcome;
            });
  }

  private CompletableFuture<CancelOutcome> readAndCancel(String job, CallTime time) {
    return readJob(job)
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
    return whenStoreAnswers(
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
                  : afterPause(
                      time,
                      () -> storeCancelMark(table, accepted, time),
                      CancelOutcome.UNAVAILABLE);
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

  /** Reads the row of a job in both formats, so that none is missed while nodes change theirs. */
  private CompletableFuture<ReadResult> readJob(String job) {
    String other = formats.otherJobs();
    return read(formats.jobs(), job)
        .thenCompose(
            found ->
                found.unreachable() || found.row().isPresent()
                    ? completedFuture(found)
                    : read(other, job));
  }

  private CompletableFuture<ReadResult> read(String table, String key) {
    return store
        .read(table, key, JobTables.keyAfter(key), 1)
        .thenApply(
            result ->
                result.fold(
                    error -> {
                      log.line("front:", key, "store not readable " + error.message());
                      return new ReadResult(true, table, Optional.empty());
                    },
                    page -> new ReadResult(false, table, page.rows().stream().findFirst())));
  }

  /**
   * Makes an attempt at once or, while the store is busy for long, when it serves calls again. The
   * call fails without an attempt if that takes too long or if the store cannot be reached.
   */
  private <T> CompletableFuture<T> whenStoreAnswers(
      String job, CallTime time, Supplier<CompletableFuture<T>> attempt, T failure) {
    if (time.isOver()) {
      return completedFuture(failure);
    }
    if (!ownerRows.isStoreOutage()) {
      return attempt.get();
    }
    // A node without a connection to the store sends its callers to other nodes at once.
    CompletableFuture<Boolean> wait = store.isBusy() ? awaitAnswer(time) : completedFuture(false);
    return wait.thenCompose(
        answering -> {
          if (answering && !time.isOver()) {
            return attempt.get();
          }
          log.line("front:", job, "refused, the store is unreachable");
          return completedFuture(failure);
        });
  }

  private CompletableFuture<Boolean> awaitAnswer(CallTime time) {
    if (time.waitMs() == 0) {
      return completedFuture(false);
    }
    CompletableFuture<Boolean> wait = ownerRows.awaitAnswer();
    if (!wait.isDone()) {
      Runnable giveUp = () -> wait.complete(false);
      ScheduledFuture<?> timer = executor.schedule(giveUp, time.waitMs(), TimeUnit.MILLISECONDS);
      var unused = wait.whenComplete((answering, error) -> timer.cancel(false));
    }
    return wait;
  }

  /** Repeats an attempt that a busy store has refused, unless its caller has waited long enough. */
  private <T> CompletableFuture<T> afterPause(
      CallTime time, Supplier<CompletableFuture<T>> repeat, T failure) {
    if (!store.isBusy() || time.waitMs() <= StoreWaitPolicy.RETRY_MS) {
      return completedFuture(failure);
    }
    CompletableFuture<Boolean> pause = new CompletableFuture<>();
    Runnable end = () -> pause.complete(true);
    var unused = executor.schedule(end, StoreWaitPolicy.RETRY_MS, TimeUnit.MILLISECONDS);
    return pause.thenCompose(over -> repeat.get());
  }

  private static JobView viewWithoutRecord(ReadResult found) {
    if (found.unreachable()) {
      return JobView.UNAVAILABLE;
    }
    return found.row().isPresent() ? JobView.of(JobPhase.QUEUED) : JobView.GONE;
  }

  /**
   * The time that a caller gives to a call.
   *
   * @param startMs when the call arrived
   * @param endMs when its caller gives up
   */
  private record CallTime(long startMs, long endMs) {
    static CallTime startingNow(long timeMs) {
      long nowMs = JobNode.now().ms();
      return new CallTime(nowMs, nowMs + timeMs);
    }

    boolean isOver() {
      return leftMs() < CallTimeouts.MIN_CALL_MS;
    }

    long waitMs() {
      return StoreWaitPolicy.waitMs(JobNode.now().ms(), startMs, endMs);
    }

    long commitMs() {
      return Math.min(leftMs(), CallTimeouts.COMMIT_MS);
    }

    private long leftMs() {
      return endMs - JobNode.now().ms();
    }
  }

  private record ReadResult(boolean unreachable, String table, Optional<Row> row) {}

  /** Outcome of submitting a job. */
  public enum SubmitOutcome {
    /** The job is stored. */
    ACCEPTED,
    /** The job is not stored, and this attempt will never run it. */
    NOT_STORED,
    /** The job may or may not be stored. */
    UNKNOWN
  }

  /** Outcome of cancelling a job. */
  public enum CancelOutcome {
    /** The cancellation is stored. */
    CANCELLED,
    /** There is no such job. */
    GONE,
    /** The cancellation may or may not be stored. */
    UNAVAILABLE
  }
}
