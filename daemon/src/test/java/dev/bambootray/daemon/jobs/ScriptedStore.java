package dev.bambootray.daemon.jobs;

import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** An in-memory store in which a test can hold back, lose or refuse answers. */
final class ScriptedStore implements RowStore {
  /** How the store treats a commit. */
  enum CommitBehavior {
    APPLIED,
    APPLIED_WITHOUT_ANSWER,
    /** Gets no answer and is attempted by {@link #applyLate}. */
    LATE,
    REFUSED
  }

  private record Held(
      CompletableFuture<Either<StoreError, RowReadPage>> future, RowReadPage page) {}

  private record Watch(String table, long after, CompletableFuture<ChangePage> future) {}

  private final Deque<Runnable> late = new ArrayDeque<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Map<String, List<Held>> held = new HashMap<>();
  private final List<String> holding = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  final Deque<CommitBehavior> commitBehaviors = new ArrayDeque<>();

  /** Whether calls fail at once. */
  boolean unavailable;

  /** Whether the store answers that it can serve no calls; used with {@link #unavailable}. */
  boolean busy;

  /** Whether commits and reads get no answer at all. */
  boolean silent;

  /** Whether waits for changes get no changes. */
  boolean feedSilent;

  /** Runs after each commit that is applied. */
  Runnable afterCommit = () -> {};

  boolean historyLost;
  private long version = 10;

  /** Holds back reads of a table until {@link #release}. */
  void hold(String table) {
    holding.add(table);
  }

  void release(String table) {
    holding.remove(table);
    List<Held> answers = held.remove(table);
    if (answers != null) {
      answers.forEach(answer -> answer.future().complete(Either.right(answer.page())));
    }
  }

  void put(String table, String key, byte[] value) {
    version++;
    Row row = new Row(table, key, value, version, false);
    rows.put(table + "/" + key, row);
    notifyWatches(row);
  }

  void remove(String table, String key) {
    version++;
    rows.remove(table + "/" + key);
    notifyWatches(new Row(table, key, new byte[0], version, true));
  }

  /** Carries out the late commits whose conditions hold now. */
  void applyLate() {
    late.forEach(Runnable::run);
    late.clear();
  }

  /** Carries out one of the late commits if its conditions hold now. */
  void applyOneLate(SplittableRandom random) {
    if (!late.isEmpty()) {
      int skipped = random.nextInt(late.size());
      for (int i = 0; i < skipped; i++) {
        late.add(late.remove());
      }
      late.remove().run();
    }
  }

  boolean has(String table, String key) {
    return rows.containsKey(table + "/" + key);
  }

  long countOf(String table) {
    return rows.values().stream().filter(row -> row.table().equals(table)).count();
  }

  private void notifyWatches(Row row) {
    history.add(row);
    if (feedSilent) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      if (watch.table().equals(row.table())) {
        watches.remove(watch);
        watch
            .future()
            .complete(
                historyLost
                    ? new ChangePage.HistoryLost()
                    : new ChangePage.Changes(List.of(row), row.version()));
      }
    }
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    if (silent) {
      return new CompletableFuture<>();
    }
    CommitBehavior fate =
        commitBehaviors.isEmpty() ? CommitBehavior.APPLIED : commitBehaviors.remove();
    if (unavailable || fate == CommitBehavior.REFUSED) {
      return CompletableFuture.completedFuture(new CommitOutcome.Refused("away"));
    }
    if (fate == CommitBehavior.LATE) {
      late.add(() -> commit(conditions, changes, timeoutMs));
      return CompletableFuture.completedFuture(new CommitOutcome.Unknown("no answer"));
    }
    List<Row> found = new ArrayList<>();
    boolean conditionsHold = true;
    for (RowCondition condition : conditions) {
      Row row = rows.get(condition.table() + "/" + condition.key());
      conditionsHold &= (row == null ? 0 : row.version()) == condition.version();
      if (row != null) {
        found.add(row);
      }
    }
    if (!conditionsHold) {
      return CompletableFuture.completedFuture(new CommitOutcome.Conflict(found));
    }
    for (RowChange change : changes) {
      byte[] value = change.value();
      if (value == null) {
        remove(change.table(), change.key());
      } else {
        put(change.table(), change.key(), value);
      }
    }
    afterCommit.run();
    return CompletableFuture.completedFuture(
        fate == CommitBehavior.APPLIED
            ? new CommitOutcome.Committed(version)
            : new CommitOutcome.Unknown("no answer"));
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    if (silent) {
      return new CompletableFuture<>();
    }
    if (unavailable) {
      return CompletableFuture.completedFuture(Either.left(new StoreError("store", "away", false)));
    }
    List<Row> found =
        rows.values().stream()
            .filter(row -> row.table().equals(table) && row.key().compareTo(from) >= 0)
            .filter(row -> to.isEmpty() || row.key().compareTo(to) < 0)
            .toList();
    List<Row> page = found.subList(0, Math.min(limit, found.size()));
    RowReadPage answer = new RowReadPage(page, page.size() < found.size(), version);
    if (!holding.contains(table)) {
      return CompletableFuture.completedFuture(Either.right(answer));
    }
    CompletableFuture<Either<StoreError, RowReadPage>> future = new CompletableFuture<>();
    held.computeIfAbsent(table, key -> new ArrayList<>()).add(new Held(future, answer));
    return future;
  }

  @Override
  public boolean isBusy() {
    return busy;
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    CompletableFuture<ChangePage> future = new CompletableFuture<>();
    List<Row> newer =
        history.stream().filter(row -> row.table().equals(table) && row.version() > after).toList();
    if (newer.isEmpty()) {
      watches.add(new Watch(table, after, future));
    } else {
      future.complete(new ChangePage.Changes(newer, version));
    }
    return future;
  }
}
