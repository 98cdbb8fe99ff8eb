package dev.bambootray.ports;

import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the platform's transactional table. Futures complete on a traffic thread and
 * never exceptionally.
 */
public interface TableStore {

  /** Commits a transaction; a repeated write token has no further effect. */
  CompletableFuture<Either<StoreError, CommitResult>> commit(TableTransaction transaction);

  /** Reads one row; an absent row has version 0. */
  CompletableFuture<Either<StoreError, StoredRow>> get(String key);

  /**
   * Reads rows whose key starts with a prefix, in the order of their keys.
   *
   * @param prefix the prefix
   * @param afterKey key to continue after, or null to start at the beginning
   * @param limit maximum number of rows in the page, 1 to 1,000
   */
  CompletableFuture<Either<StoreError, RowPage>> scan(
      String prefix, @Nullable String afterKey, int limit);
}
