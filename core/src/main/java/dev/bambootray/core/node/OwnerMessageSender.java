package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Sends the messages of an entry node to the owners of regions and repeats a request until it is
 * answered.
 */
final class OwnerMessageSender {
  private static final long FIRST_RESEND_MS = 1_000;
  private static final long MAX_RESEND_MS = 60_000;

  private final NodeContext context;
  private final Function<RequestKey, @Nullable EntryRequest> open;
  private final BiConsumer<EntryRequest, RequestRecord> close;

  OwnerMessageSender(
      NodeContext context,
      Function<RequestKey, @Nullable EntryRequest> open,
      BiConsumer<EntryRequest, RequestRecord> close) {
    this.context = context;
    this.open = open;
    this.close = close;
  }

  void forward(EntryRequest entry, long nowMs) {
    entry.resendAtMs =
        nowMs + Math.min(MAX_RESEND_MS, FIRST_RESEND_MS << Math.min(entry.resends, 6));
    entry.resends++;
    boolean sent = context.routes().toOwner(entry.region, epoch -> submission(entry, epoch));
    if (!sent) {
      entry.resends = 0;
    }
  }

  /**
   * Informs the new owner of a region about an open request. The new owner reads the open records
   * from the table itself, so only a request without a record is sent in full.
   */
  void notifyNewOwner(EntryRequest entry, long nowMs) {
    if (!entry.isDurable()) {
      forward(entry, nowMs);
      return;
    }
    context
        .routes()
        .toOwner(
            entry.region,
            epoch ->
                new PeerMessage.AwaitRequest(
                    context.identity().node(), entry.region, epoch, entry.spec.key()));
  }

  /** Sends a request again unless its record already has an answer. */
  void resend(EntryRequest entry, long nowMs) {
    if (!entry.isDurable()) {
      forward(entry, nowMs);
      return;
    }
    entry.resendAtMs = nowMs + MAX_RESEND_MS;
    context
        .store()
        .read(
            RequestRowMapper.requestRowKey(entry.spec.key()),
            outcome -> {
              Either<RequestError, VersionedRecord> found =
                  VersionedRecord.of(outcome, context.codec(), entry.spec.key());
              if (open.apply(entry.spec.key()) != entry) {
                return;
              }
              if (found.isRight() && found.get().content().state() == RequestRecordState.ANSWERED) {
                close.accept(entry, found.get().content());
                return;
              }
              forward(entry, context.now());
            });
  }

  private PeerMessage submission(EntryRequest entry, long epoch) {
    entry.sentToSeveralOwners |= entry.lastSentEpoch != 0 && entry.lastSentEpoch != epoch;
    entry.lastSentEpoch = epoch;
    return new PeerMessage.SubmitRequest(
        context.identity().node(),
        entry.region,
        epoch,
        entry.spec,
        Math.max(0, entry.recordVersion));
  }

  void cancel(EntryRequest entry) {
    context
        .routes()
        .toOwner(
            entry.region,
            epoch ->
                new PeerMessage.CancelRequests(
                    context.identity().node(), entry.region, epoch, List.of(entry.spec.key())));
  }
}
