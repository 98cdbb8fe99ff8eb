package dev.bambootray.core.node;

import static dev.bambootray.core.model.RequestError.notRun;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.OutageAdmission;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Handles requests as their entry node: accepts them, forwards each one to the owner of a region
 * and answers the callers that wait on this node.
 */
final class EntryRequestHandler {
  /** How long after the deadline the entry node waits for the owner before it reads the record. */
  private static final long SETTLE_GRACE_MS = 2_000;

  private static final long CANCEL_WAIT_MS = 5_000;
  private static final long RETRY_AFTER_MS = 1_000;

  /** How long a repeatable request waits for its record to be written. */
  private static final long RECORD_WAIT_MS = 1_000;

  private final NodeContext context;
  private final OpenRequestLimit limit;
  private final OutageAdmission outage;
  private final Function<RequestSpec, RegionId> regionSelector;
  private final Map<RequestKey, EntryRequest> open = new HashMap<>();
  private final OverdueSettlement settlement;
  private final OwnerMessageSender messages;

  EntryRequestHandler(
      NodeContext context,
      OpenRequestLimit limit,
      OutageAdmission outage,
      Function<RequestSpec, RegionId> regionSelector) {
    this.context = context;
    this.limit = limit;
    this.outage = outage;
    this.regionSelector = regionSelector;
    messages = new OwnerMessageSender(context, open::get, this::close);
    settlement = new OverdueSettlement(context, open::get, this::close, this::fail);
  }

  int openCount() {
    return open.size();
  }

  void submit(NodeEvent.CallerSubmitted event, long nowMs) {
    RequestKey key = event.spec().key();
    EntryRequest known = open.get(key);
    if (known != null) {
      if (!known.view().matches(event.spec())) {
        context.outbox().refuse(event.ticket(), keyReused(key));
        return;
      }
      attach(known, ticketOf(event, nowMs));
      return;
    }
    EntryRequest entry = new EntryRequest(event.spec(), regionSelector.apply(event.spec()));
    if (!limit.admit()) {
      context
          .outbox()
          .refuse(
              event.ticket(),
              notRun(
                  RequestStep.ADMISSION,
                  context.self(),
                  "this node has reached its limit of open requests",
                  RETRY_AFTER_MS));
      return;
    }
    entry.tickets.add(ticketOf(event, nowMs));
    open.put(key, entry);
    accept(entry, nowMs);
  }

  void read(long ticket, RequestKey key, long waitMs, long nowMs) {
    EntryRequest entry = open.get(key);
    if (entry != null) {
      attach(entry, new EntryRequest.Ticket(ticket, nowMs + waitMs, false));
      return;
    }
    readRecord(
        key,
        ticket,
        row -> {
          RequestRecord found = row.content();
          if (found.state() == RequestRecordState.ANSWERED || waitMs <= 0) {
            context.outbox().reply(ticket, found, true);
            return;
          }
          awaitOpen(found, row.version(), new EntryRequest.Ticket(ticket, nowMs + waitMs, false));
        });
  }

  void cancel(long ticket, RequestKey key, long nowMs) {
    EntryRequest entry = open.get(key);
    if (entry != null) {
      entry.tickets.add(new EntryRequest.Ticket(ticket, nowMs + CANCEL_WAIT_MS, false));
      messages.cancel(entry);
      return;
    }
    readRecord(
        key,
        ticket,
        row -> {
          RequestRecord found = row.content();
          if (found.state() == RequestRecordState.ANSWERED) {
            context.outbox().reply(ticket, found, true);
            return;
          }
          messages.cancel(
              awaitOpen(
                  found,
                  row.version(),
                  new EntryRequest.Ticket(ticket, nowMs + CANCEL_WAIT_MS, false)));
        });
  }

  /** Delivers the owner's answer to the waiting callers; late and repeated answers are ignored. */
  void answered(Answer answer) {
    EntryRequest entry = open.get(answer.key());
    if (entry == null) {
      return;
    }
    boolean mayHaveRunElsewhere = entry.sentToSeveralOwners && !entry.isDurable();
    close(
        entry,
        entry.view().withAnswer(mayHaveRunElsewhere ? answer.withUnknownExecution() : answer));
  }

  /** Sends every forwarded open request of a region to its new owner. */
  void ownerChanged(RegionId region, long nowMs) {
    open.values().stream()
        .filter(entry -> entry.region.equals(region) && entry.isForwarded())
        .toList()
        .forEach(entry -> messages.notifyNewOwner(entry, nowMs));
  }

  void tick(long nowMs) {
    for (EntryRequest entry : new ArrayList<>(open.values())) {
      if (isRecordOverdue(entry, nowMs)) {
        forwardWithoutRecord(entry, true, nowMs);
      }
      replyToDueTickets(entry, nowMs);
      if (nowMs > entry.spec.deadlineAtMs() + SETTLE_GRACE_MS) {
        settlement.settle(entry);
      } else if (entry.isForwarded() && nowMs >= entry.resendAtMs) {
        messages.resend(entry, nowMs);
      }
    }
  }

  private void accept(EntryRequest entry, long nowMs) {
    if (!context.store().isAvailable()) {
      OutageAdmission.Decision decision =
          outage.admit(
              entry.spec.key(),
              entry.spec.repeatable(),
              entry.heldBytes(),
              entry.spec.deadlineAtMs(),
              nowMs);
      if (decision instanceof OutageAdmission.Decision.Refuse refuse) {
        fail(
            entry,
            notRun(RequestStep.ADMISSION, context.self(), refuse.reason(), refuse.retryAfterMs()));
        return;
      }
      if (decision instanceof OutageAdmission.Decision.ServeWithoutRecord) {
        forwardWithoutRecord(entry, false, nowMs);
        return;
      }
    }
    entry.recordWriteSentAtMs = nowMs;
    context
        .store()
        .write(
            context.rows().acceptWrites(RequestRecord.accepted(entry.spec, entry.region)),
            entry.spec.deadlineAtMs(),
            outcome -> acceptEnded(entry, outcome, context.now()));
  }

  private void acceptEnded(
      EntryRequest entry, Either<StoreError, CommitResult> outcome, long nowMs) {
    if (open.get(entry.spec.key()) != entry) {
      return;
    }
    if (outcome.isLeft()) {
      acceptFailed(entry, outcome.getLeft(), nowMs);
    } else if (outcome.get() instanceof CommitResult.Committed committed) {
      entry.recordVersion = committed.versions().get(0);
      context.outbox().report("entry:", "accepted", entry.spec.key(), "Accepted.");
      accepted(entry, nowMs);
    } else if (outcome.get() instanceof CommitResult.Conflict conflict) {
      continueWithRecord(entry, conflict, nowMs);
    }
  }

  private void acceptFailed(EntryRequest entry, StoreError error, long nowMs) {
    if (entry.spec.repeatable()) {
      forwardWithoutRecord(entry, error.maybeApplied(), nowMs);
      return;
    }
    String message = "the request could not be recorded before its deadline: " + error.message();
    // The write may have taken effect although its reply was lost; then an owner may have found the
    // record and run the request before the deadline.
    RequestError refusal =
        error.maybeApplied()
            ? RequestError.unknown(RequestStep.RECORD, error.peer(), message)
            : notRun(RequestStep.RECORD, error.peer(), message, RETRY_AFTER_MS);
    fail(entry, refusal);
  }

  /**
   * Forwards a request without a record if a caller waits for its answer on a connection. Otherwise
   * it fails: without a record, a caller that returns later might find no answer.
   */
  private void forwardWithoutRecord(EntryRequest entry, boolean maybeRecorded, long nowMs) {
    if (entry.tickets.stream().allMatch(EntryRequest.Ticket::untilAccepted)) {
      String message =
          "the table is unavailable, so only callers that wait on their connection are served";
      fail(
          entry,
          maybeRecorded
              ? RequestError.unknown(RequestStep.RECORD, "table", message)
              : notRun(RequestStep.RECORD, "table", message, RETRY_AFTER_MS));
      return;
    }
    entry.recordVersion = EntryRequest.VERSION_NONE;
    messages.forward(entry, nowMs);
  }

  /** Returns whether a repeatable request should no longer wait for its record. */
  private boolean isRecordOverdue(EntryRequest entry, long nowMs) {
    return !entry.isForwarded()
        && entry.spec.repeatable()
        && (!context.store().isAvailable() || nowMs - entry.recordWriteSentAtMs > RECORD_WAIT_MS);
  }

  private void accepted(EntryRequest entry, long nowMs) {
    entry.tickets.removeIf(
        ticket -> {
          if (ticket.untilAccepted()) {
            context.outbox().reply(ticket.number(), entry.view(), true);
          }
          return ticket.untilAccepted();
        });
    messages.forward(entry, nowMs);
  }

  private void continueWithRecord(EntryRequest entry, CommitResult.Conflict conflict, long nowMs) {
    String wanted = RequestRowMapper.requestRowKey(entry.spec.key());
    for (StoredRow row : conflict.current()) {
      if (!row.key().equals(wanted) || row.version() == 0) {
        continue;
      }
      Either<String, RequestRecord> decoded = context.codec().decode(row.value());
      if (decoded.isLeft()) {
        fail(entry, RequestError.unknown(RequestStep.RECORD, "table", decoded.getLeft()));
        return;
      }
      continueWithRecord(entry, decoded.get(), row.version(), nowMs);
      return;
    }
    fail(
        entry,
        notRun(
            RequestStep.RECORD,
            "table",
            "the table refused to record the request",
            RETRY_AFTER_MS));
  }

  private void continueWithRecord(
      EntryRequest entry, RequestRecord found, long version, long nowMs) {
    if (!found.matches(entry.spec)) {
      fail(entry, keyReused(entry.spec.key()));
      return;
    }
    entry.spec = found.spec();
    entry.region = found.region();
    entry.recordVersion = version;
    if (found.state() == RequestRecordState.ANSWERED) {
      close(entry, found);
      return;
    }
    accepted(entry, nowMs);
  }

  private EntryRequest awaitOpen(RequestRecord found, long version, EntryRequest.Ticket ticket) {
    EntryRequest entry = open.get(found.spec().key());
    if (entry == null) {
      entry = new EntryRequest(found.spec(), found.region());
      entry.recordVersion = version;
      limit.admitAlways();
      open.put(found.spec().key(), entry);
      messages.forward(entry, ticket.replyAtMs());
      entry.resendAtMs = 0;
    }
    entry.tickets.add(ticket);
    return entry;
  }

  private void attach(EntryRequest entry, EntryRequest.Ticket ticket) {
    if (ticket.untilAccepted() && entry.isDurable()) {
      context.outbox().reply(ticket.number(), entry.view(), true);
      return;
    }
    entry.tickets.add(ticket);
  }

  private void replyToDueTickets(EntryRequest entry, long nowMs) {
    entry.tickets.removeIf(
        ticket -> {
          boolean due = nowMs >= ticket.replyAtMs() && !ticket.untilAccepted();
          if (due && entry.isForwarded()) {
            context.outbox().reply(ticket.number(), entry.view(), entry.isDurable());
            return true;
          }
          return false;
        });
  }

  private void fail(EntryRequest entry, RequestError error) {
    remove(entry);
    entry.tickets.forEach(ticket -> context.outbox().refuse(ticket.number(), error));
    context.outbox().report("entry:", "refused", entry.spec.key(), error.message());
  }

  private void close(EntryRequest entry, RequestRecord answered) {
    remove(entry);
    entry.tickets.forEach(
        ticket -> context.outbox().reply(ticket.number(), answered, entry.isDurable()));
  }

  private void remove(EntryRequest entry) {
    open.remove(entry.spec.key());
    limit.release();
    outage.release(entry.spec.key());
  }

  private void readRecord(RequestKey key, long ticket, Consumer<VersionedRecord> next) {
    context
        .store()
        .read(
            RequestRowMapper.requestRowKey(key),
            outcome ->
                VersionedRecord.of(outcome, context.codec(), key)
                    .peek(next)
                    .peekLeft(error -> context.outbox().refuse(ticket, error)));
  }

  private RequestError keyReused(RequestKey key) {
    return RequestError.impossible(
        RequestStep.ADMISSION,
        context.self(),
        "the idempotency key " + key.idempotencyKey() + " was used with other content");
  }

  private static EntryRequest.Ticket ticketOf(NodeEvent.CallerSubmitted event, long nowMs) {
    return new EntryRequest.Ticket(event.ticket(), nowMs + event.waitMs(), event.waitMs() <= 0);
  }
}
