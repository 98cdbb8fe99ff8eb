package dev.bambootray.core.node;

import static dev.bambootray.core.model.RequestError.notRun;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.scheduling.Explanation;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Obtains explanations of the state of requests from the owners of their regions. */
final class ExplainRequestHandler {
  private static final long TIMEOUT_MS = 2_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final NodeContext context;
  private final Map<Long, Long> deadlinesByTicket = new HashMap<>();

  ExplainRequestHandler(NodeContext context) {
    this.context = context;
  }

  void ask(long ticket, RequestKey key) {
    context
        .store()
        .read(
            RequestRowMapper.requestRowKey(key),
            outcome ->
                VersionedRecord.of(outcome, context.codec(), key)
                    .peek(found -> askOwner(ticket, found.content()))
                    .peekLeft(error -> reply(ticket, Either.left(error))));
  }

  void replied(PeerMessage.ExplainReply answer) {
    if (deadlinesByTicket.remove(answer.correlation()) != null) {
      reply(answer.correlation(), Either.right(answer.explanation()));
    }
  }

  void tick(long nowMs) {
    deadlinesByTicket
        .entrySet()
        .removeIf(
            pending -> {
              boolean late = nowMs >= pending.getValue();
              if (late) {
                reply(pending.getKey(), Either.left(ownerUnresponsive()));
              }
              return late;
            });
  }

  private void askOwner(long ticket, RequestRecord found) {
    RequestKey key = found.spec().key();
    if (found.state() == RequestRecordState.ANSWERED) {
      reply(
          ticket,
          Either.right(
              new Explanation(
                  key, "answered", 0, "the request is answered", List.of(), List.of(), -1)));
      return;
    }
    deadlinesByTicket.put(ticket, context.now() + TIMEOUT_MS);
    context
        .routes()
        .toOwner(
            found.region(),
            epoch ->
                new PeerMessage.ExplainRequest(
                    context.identity().node(), found.region(), epoch, ticket, key));
  }

  private void reply(long ticket, Either<RequestError, Explanation> outcome) {
    context.outbox().add(new NodeEffect.ReplyExplanation(ticket, outcome));
  }

  private RequestError ownerUnresponsive() {
    return notRun(
        RequestStep.FORWARD,
        context.self(),
        "the owner of the region did not answer",
        RETRY_AFTER_MS);
  }
}
