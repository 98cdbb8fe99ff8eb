package dev.bambootray.adapters.relay;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A store whose commits and waits a test completes; reads are answered at once, or by the test if
 * it holds them back.
 */
final class FakeStore implements RowStore {
  final List<CompletableFuture<CommitOutcome>> commits = new ArrayList<>();
  final List<CompletableFuture<ChangePage>> waits = new ArrayList<>();
  final List<Long> waitsMs = new ArrayList<>();
  List<RowCondition> conditions = List.of();
  List<RowChange> changes = List.of();
  Either<StoreError, RowReadPage> page = Either.left(new StoreError("store", "unavailable", false));
  final List<CompletableFuture<Either<StoreError, RowReadPage>>> heldReads = new ArrayList<>();
  boolean holdsReads;
  int reads;

  /** Whether calls throw instead of returning a future. */
  boolean throwing;

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> newConditions, List<RowChange> newChanges, long timeoutMs) {
    if (throwing) {
      throw new IllegalStateException("thrown by the store");
    }
    conditions = newConditions;
    changes = newChanges;
    CompletableFuture<CommitOutcome> commit = new CompletableFuture<>();
    commits.add(commit);
    return commit;
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    reads++;
    if (throwing) {
      throw new IllegalStateException("thrown by the store");
    }
    if (holdsReads) {
      CompletableFuture<Either<StoreError, RowReadPage>> read = new CompletableFuture<>();
      heldReads.add(read);
      return read;
    }
    return CompletableFuture.completedFuture(page);
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    waitsMs.add(waitMs);
    if (throwing) {
      throw new IllegalStateException("thrown by the store");
    }
    CompletableFuture<ChangePage> wait = new CompletableFuture<>();
    waits.add(wait);
    return wait;
  }
}
