package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.LeaseEffect;
import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Reads the owner row, and writes it in one transaction with the owner's job records. */
final class OwnerRowStore {
  private final RowStore store;
  private final JobRowCodec codec;
  private final DecisionLog log;
  private final StoreFormats formats;
  private final StoreReachability reachability = new StoreReachability();
  private final AtomicReference<@Nullable OwnerRecord> newest = new AtomicReference<>();

  OwnerRowStore(RowStore store, JobRowCodec codec, DecisionLog log, StoreFormats formats) {
    this.store = store;
    this.codec = codec;
    this.log = log;
    this.formats = formats;
  }

  /** Returns the newest owner row that this node has read or written. */
  Optional<OwnerRecord> newest() {
    return Optional.ofNullable(newest.get());
  }

  /** Returns whether the latest call of the store got a usable answer. */
  boolean isReachable() {
    return reachability.isAnswering();
  }

  /** Returns whether calls have failed for long enough to treat the store as unreachable. */
  boolean isStoreOutage() {
    return reachability.isOutage(JobNode.now().ms());
  }

  /** See {@link StoreReachability#awaitAnswer}. */
  CompletableFuture<Boolean> awaitAnswer() {
    return reachability.awaitAnswer();
  }

  /** Records a call without a usable answer that was sent at the given time. */
  void noteFailure(long sentMs) {
    note(false, sentMs);
  }

  private void note(boolean answered, long sentMs) {
    if (answered) {
      reachability.answered();
    } else {
      reachability.failed(sentMs);
    }
  }

  void setNewest(OwnerRecord owner) {
    newest.set(owner);
  }

  CompletableFuture<LeaseEvent> read() {
    long sentMs = JobNode.now().ms();
    return store
        .read(JobTables.OWNER, JobTables.OWNER_KEY, JobTables.keyAfter(JobTables.OWNER_KEY), 1)
        .thenApply(
            result -> {
              note(result.isRight(), sentMs);
              return result.fold(error -> new LeaseEvent.ReadFailed(), this::ownerOf);
            });
  }

  private LeaseEvent ownerOf(RowReadPage page) {
    if (page.rows().isEmpty()) {
      return new LeaseEvent.OwnerRead(null, 0);
    }
    Row row = page.rows().get(0);
    OwnerRecord owner = decode(row);
    // A row that a newer build may have written is no reason to claim the pool.
    return owner == null
        ? new LeaseEvent.ReadFailed()
        : new LeaseEvent.OwnerRead(owner, row.version());
  }

  CompletableFuture<LeaseEvent> commit(LeaseEffect.Commit commit, long timeoutMs) {
    List<RowChange> changes = new ArrayList<>();
    changes.add(new RowChange(JobTables.OWNER, JobTables.OWNER_KEY, codec.encode(commit.owner())));
    JobEffect.Persist batch = commit.batch();
    if (batch != null) {
      for (JobRecord saved : batch.records()) {
        changes.add(new RowChange(JobTables.RECORDS, saved.job(), codec.encode(saved)));
      }
      for (String job : batch.removedJobs()) {
        changes.add(new RowChange(JobTables.RECORDS, job, null));
      }
    }
    RowCondition condition =
        new RowCondition(JobTables.OWNER, JobTables.OWNER_KEY, commit.expectedVersion());
    long sentMs = JobNode.now().ms();
    return store
        .commit(List.of(condition), changes, timeoutMs)
        .thenApply(outcome -> event(outcome, sentMs));
  }

  /** Removes the rows of a job, and returns whether they are certainly removed. */
  CompletableFuture<Boolean> removeJobRows(String job) {
    CompletableFuture<Boolean> removal = removeJobRows(JobTables.JOBS, job);
    if (!formats.mayHaveFormatOneRows(job)) {
      return removal;
    }
    // A row that stays in either format would run the job again once its record is removed.
    return removal.thenCombine(
        removeJobRows(JobTables.JOBS_FORMAT_1, job),
        (removed, removedToo) -> {
          if (removedToo) {
            formats.forgetJob(job);
          }
          return removed && removedToo;
        });
  }

  private CompletableFuture<Boolean> removeJobRows(String table, String job) {
    List<RowChange> changes =
        List.of(
            new RowChange(table, job, null), new RowChange(table, JobTables.cancelKey(job), null));
    return store
        .commit(List.of(), changes, CallTimeouts.COMMIT_MS)
        .thenApply(CommitOutcome.Committed.class::isInstance);
  }

  /**
   * Removes the cancellation mark of a job that is not stored.
   *
   * @return whether the mark is certainly removed or certainly belongs to a stored job
   */
  CompletableFuture<Boolean> removeCancelMark(String job) {
    return removeCancelMark(JobTables.JOBS, job)
        .thenCombine(removeCancelMark(JobTables.JOBS_FORMAT_1, job), Boolean::logicalAnd);
  }

  private CompletableFuture<Boolean> removeCancelMark(String table, String job) {
    RowCondition notStored = new RowCondition(table, job, 0);
    RowChange removal = new RowChange(table, JobTables.cancelKey(job), null);
    return store
        .commit(List.of(notStored), List.of(removal), CallTimeouts.COMMIT_MS)
        .thenApply(
            outcome ->
                outcome instanceof CommitOutcome.Committed
                    || outcome instanceof CommitOutcome.Conflict);
  }

  private LeaseEvent event(CommitOutcome outcome, long sentMs) {
    boolean answered =
        outcome instanceof CommitOutcome.Committed || outcome instanceof CommitOutcome.Conflict;
    // Reads end before a commit that takes longer, and show whether the store can be reached now.
    if (answered || JobNode.now().ms() - sentMs <= CallTimeouts.COMMIT_MS) {
      note(answered, sentMs);
    }
    if (outcome instanceof CommitOutcome.Committed committed) {
      return new LeaseEvent.Committed(committed.version());
    }
    if (outcome instanceof CommitOutcome.Conflict conflict) {
      return conflict.rows().stream()
          .filter(row -> row.table().equals(JobTables.OWNER) && !row.removed())
          .findFirst()
          .map(row -> new LeaseEvent.Conflicted(decode(row), row.version()))
          .orElse(new LeaseEvent.Conflicted(null, 0));
    }
    boolean unknown = outcome instanceof CommitOutcome.Unknown;
    log.line("store:", JobTables.OWNER_KEY, "commit failed " + outcome);
    return new LeaseEvent.CommitFailed(unknown);
  }

  private @Nullable OwnerRecord decode(Row row) {
    return codec
        .decodeOwner(row.value())
        .peekLeft(error -> log.line("store:", JobTables.OWNER_KEY, "unreadable " + error))
        .getOrNull();
  }
}
