package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import io.vavr.control.Either;
import java.util.function.BiConsumer;

/**
 * Records the answer of a request in the table and delivers the answer that is final.
 *
 * <p>If there are several answers, the one whose conditional write took effect is final. A result
 * of a repeatable request, and any answer while the table is unavailable, is delivered before it is
 * written: the caller waits, and the worker keeps the result until it is written.
 */
final class AnswerWriter {
  /** Longer results are written to the object store and answered by reference. */
  static final int MAX_INLINE_RESULT_BYTES = 64 * 1024;

  private final NodeContext context;
  private final BiConsumer<ServedRequest, Answer> deliver;
  private final BiConsumer<ServedRequest, Boolean> settled;

  /**
   * Creates a writer.
   *
   * @param deliver sends an answer to the entry nodes; called at least once for each request
   * @param settled called when no further write is due; true if this answer is the final one
   */
  AnswerWriter(
      NodeContext context,
      BiConsumer<ServedRequest, Answer> deliver,
      BiConsumer<ServedRequest, Boolean> settled) {
    this.context = context;
    this.deliver = deliver;
    this.settled = settled;
  }

  void write(ServedRequest served, Answer answer) {
    if (served.isFinishing) {
      return;
    }
    served.isFinishing = true;
    String result = answer.resultJson();
    if (result == null || result.length() <= MAX_INLINE_RESULT_BYTES) {
      record(served, answer);
      return;
    }
    String name = "result/" + answer.key().path();
    context
        .outbox()
        .putObject(
            name,
            result,
            outcome ->
                record(served, outcome.isRight() ? Answer.reference(answer.key(), name) : answer));
  }

  private void record(ServedRequest served, Answer answer) {
    if (!served.isDurable()) {
      deliver.accept(served, answer);
      settled.accept(served, true);
      return;
    }
    boolean sendFirst = !context.store().isAvailable() || isStable(served, answer);
    if (sendFirst) {
      deliver.accept(served, answer);
    }
    commit(served, answer, sendFirst);
  }

  /**
   * Returns whether a later owner would give the same answer, because the worker keeps the result
   * until the answer is written. Such an answer is sent before the write, so that the caller does
   * not wait for the write.
   */
  private static boolean isStable(ServedRequest served, Answer answer) {
    return answer.error() == null && served.content.spec().repeatable();
  }

  private void commit(ServedRequest served, Answer answer, boolean alreadySent) {
    RequestRecord answered = served.content.withAnswer(answer);
    context
        .store()
        .write(
            context.rows().answerWrites(answered, served.recordVersion),
            Long.MAX_VALUE,
            outcome -> committed(served, answer, alreadySent, outcome));
  }

  private void committed(
      ServedRequest served,
      Answer answer,
      boolean alreadySent,
      Either<StoreError, CommitResult> outcome) {
    if (outcome.isRight() && outcome.get() instanceof CommitResult.Committed) {
      if (!alreadySent) {
        deliver.accept(served, answer);
      }
      settled.accept(served, true);
      return;
    }
    if (outcome.isRight() && outcome.get() instanceof CommitResult.Conflict conflict) {
      deliverRecordedAnswer(served, alreadySent, conflict);
    }
    settled.accept(served, false);
  }

  private void deliverRecordedAnswer(
      ServedRequest served, boolean alreadySent, CommitResult.Conflict conflict) {
    String row = RequestRowMapper.requestRowKey(served.content.spec().key());
    for (StoredRow current : conflict.current()) {
      if (!current.key().equals(row) || current.version() == 0) {
        continue;
      }
      context
          .codec()
          .decode(current.value())
          .filter(found -> found.state() == RequestRecordState.ANSWERED && !alreadySent)
          .forEach(
              either ->
                  either.forEach(
                      found -> {
                        Answer standing = found.answer();
                        if (standing != null) {
                          deliver.accept(served, standing);
                        }
                      }));
    }
  }
}
