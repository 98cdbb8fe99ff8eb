package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import io.vavr.control.Either;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Settles requests whose owner did not answer in time: uses the answer in the record, or else
 * records a failure, which a later answer of the owner cannot replace.
 */
final class OverdueSettlement {
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long WRITE_LIMIT_MS = 2_000;

  private final NodeContext context;
  private final Function<RequestKey, @Nullable EntryRequest> open;
  private final BiConsumer<EntryRequest, RequestRecord> close;
  private final BiConsumer<EntryRequest, RequestError> fail;

  OverdueSettlement(
      NodeContext context,
      Function<RequestKey, @Nullable EntryRequest> open,
      BiConsumer<EntryRequest, RequestRecord> close,
      BiConsumer<EntryRequest, RequestError> fail) {
    this.context = context;
    this.open = open;
    this.close = close;
    this.fail = fail;
  }

  void settle(EntryRequest entry) {
    if (entry.settling) {
      return;
    }
    if (!entry.isForwarded()) {
      fail.accept(
          entry,
          RequestError.unknown(
              RequestStep.RECORD,
              "table",
              "it is not known whether the request was recorded in time"));
    } else if (!entry.isDurable()) {
      fail.accept(
          entry,
          RequestError.unknown(
              RequestStep.ANSWER, entry.region.value(), "no answer arrived before the deadline"));
    } else {
      entry.settling = true;
      context
          .store()
          .read(
              RequestRowMapper.requestRowKey(entry.spec.key()), outcome -> rowRead(entry, outcome));
    }
  }

  private void rowRead(EntryRequest entry, Either<StoreError, StoredRow> outcome) {
    entry.settling = false;
    if (outcome.isLeft() || open.apply(entry.spec.key()) != entry) {
      return;
    }
    Either<String, RequestRecord> decoded = context.codec().decode(outcome.get().value());
    if (decoded.isLeft()) {
      fail.accept(entry, RequestError.unknown(RequestStep.RECORD, "table", decoded.getLeft()));
    } else if (decoded.get().state() == RequestRecordState.ANSWERED) {
      close.accept(entry, decoded.get());
    } else {
      recordExpiry(entry, decoded.get(), outcome.get().version());
    }
  }

  private void recordExpiry(EntryRequest entry, RequestRecord found, long version) {
    RequestRecord expired =
        found.withAnswer(Answer.failure(entry.spec.key(), expiry(entry, found)));
    entry.settling = true;
    context
        .store()
        .write(
            context.rows().answerWrites(expired, version),
            context.now() + WRITE_LIMIT_MS,
            outcome -> {
              entry.settling = false;
              if (open.apply(entry.spec.key()) == entry
                  && outcome.isRight()
                  && outcome.get() instanceof CommitResult.Committed) {
                close.accept(entry, expired);
              }
            });
  }

  private static RequestError expiry(EntryRequest entry, RequestRecord found) {
    boolean certainlyNotRun =
        found.state() == RequestRecordState.ACCEPTED && !found.spec().repeatable();
    return new RequestError(
        RequestStep.ANSWER,
        entry.region.value(),
        "the owner of the region did not answer before the deadline",
        certainlyNotRun ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN,
        certainlyNotRun,
        certainlyNotRun ? RETRY_AFTER_MS : null);
  }
}
