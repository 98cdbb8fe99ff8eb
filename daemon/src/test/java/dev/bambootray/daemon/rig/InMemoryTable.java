package dev.bambootray.daemon.rig;

import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An in-memory table that can simulate outages and lost answers. */
public final class InMemoryTable {
  private final TreeMap<String, StoredRow> rows = new TreeMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, CommitResult> outcomes = new HashMap<>();
  private boolean unavailable;
  private int answersToLose;
  private int commits;

  public void setUnavailable(boolean value) {
    unavailable = value;
  }

  /** Loses the answers of the next commits, which still take effect. */
  public void loseAnswers(int count) {
    answersToLose = count;
  }

  public int commits() {
    return commits;
  }

  public Either<StoreError, CommitResult> commit(TableTransaction transaction) {
    if (unavailable) {
      return Either.left(new StoreError("table", "the table is away", false));
    }
    commits++;
    CommitResult result =
        outcomes.computeIfAbsent(transaction.writeToken(), t -> apply(transaction));
    if (answersToLose > 0) {
      answersToLose--;
      return Either.left(new StoreError("table", "the answer was lost", true));
    }
    return Either.right(result);
  }

  public Either<StoreError, StoredRow> get(String key) {
    return unavailable
        ? Either.left(new StoreError("table", "the table is away", false))
        : Either.right(row(key));
  }

  public Either<StoreError, RowPage> scan(String prefix, String afterKey, int limit) {
    if (unavailable) {
      return Either.left(new StoreError("table", "the table is away", false));
    }
    List<StoredRow> found = new ArrayList<>();
    for (StoredRow row :
        rows.tailMap(afterKey == null ? prefix : afterKey, afterKey == null).values()) {
      if (!row.key().startsWith(prefix)) {
        break;
      }
      if (found.size() == limit) {
        return Either.right(new RowPage(found, found.get(limit - 1).key()));
      }
      found.add(row);
    }
    return Either.right(new RowPage(found, null));
  }

  public StoredRow row(String key) {
    return rows.getOrDefault(key, new StoredRow(key, "", 0));
  }

  public List<StoredRow> rows(String prefix) {
    return rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList();
  }

  /** Writes a row unconditionally, as another user of the platform would. */
  public void put(String key, String value) {
    long version = versions.merge(key, 1L, Long::sum);
    rows.put(key, new StoredRow(key, value, version));
  }

  private CommitResult apply(TableTransaction transaction) {
    List<StoredRow> failed = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      StoredRow current = row(write.key());
      if (write.expectedVersion() != RowWrite.ANY_VERSION
          && write.expectedVersion() != current.version()) {
        failed.add(current);
      }
    }
    if (!failed.isEmpty()) {
      return new CommitResult.Conflict(failed);
    }
    List<Long> written = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      if (write.value() == null) {
        rows.remove(write.key());
        versions.merge(write.key(), 1L, Long::sum);
        written.add(0L);
      } else {
        put(write.key(), write.value());
        written.add(row(write.key()).version());
      }
    }
    return new CommitResult.Committed(written);
  }
}
