package dev.bambootray.core.node;

import static dev.bambootray.core.model.RequestError.notRun;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordCodec;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import io.vavr.control.Either;

/**
 * A request record that was read from the table, with its version.
 *
 * @param content the record
 * @param version version of its rows, which the next conditional write must name
 */
record VersionedRecord(RequestRecord content, long version) {
  private static final long RETRY_AFTER_MS = 1_000;

  /** Returns the record of a row that was read, or the error to return to the caller. */
  static Either<RequestError, VersionedRecord> of(
      Either<StoreError, StoredRow> outcome, RequestRecordCodec codec, RequestKey key) {
    if (outcome.isLeft()) {
      StoreError error = outcome.getLeft();
      return Either.left(
          new RequestError(
              RequestStep.RECORD,
              error.peer(),
              error.message(),
              ExecutionStatus.UNKNOWN,
              true,
              RETRY_AFTER_MS));
    }
    StoredRow row = outcome.get();
    if (row.version() == 0) {
      return Either.left(
          notRun(RequestStep.RECORD, "table", "there is no request " + key, RETRY_AFTER_MS));
    }
    return codec
        .decode(row.value())
        .map(content -> new VersionedRecord(content, row.version()))
        .mapLeft(message -> RequestError.unknown(RequestStep.RECORD, "table", message));
  }
}
