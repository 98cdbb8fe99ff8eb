package dev.bambootray.core.node;

import static dev.bambootray.core.model.RequestError.notRun;

import dev.bambootray.core.ledger.LedgerRows;
import dev.bambootray.core.ledger.RecordState;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Step;
import dev.bambootray.core.scheduling.Explanation;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Obtains explanations of the state of requests from the owners of their regions. */
final class Explanations {
  private static final long TIMEOUT_MS = 2_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final NodeContext context;
  private final Map<Long, Long> askedUntilMs = new HashMap<>();

  Explanations(NodeContext context) {
    this.context = context;
  }

  void ask(long ticket, RequestKey key) {
    context
        .store()
        .read(
            LedgerRows.requestRow(key),
            outcome ->
                FoundRecord.of(outcome, context.codec(), key)
                    .peek(found -> askOwner(ticket, found.content()))
                    .peekLeft(error -> reply(ticket, Either.left(error))));
  }

  void replied(PeerMessage.ExplainReply answer) {
    if (askedUntilMs.remove(answer.correlation()) != null) {
      reply(answer.correlation(), Either.right(answer.explanation()));
    }
  }

  void tick(long nowMs) {
    askedUntilMs
        .entrySet()
        .removeIf(
            pending -> {
              boolean late = nowMs >= pending.getValue();
              if (late) {
                reply(pending.getKey(), Either.left(ownerSilent()));
              }
              return late;
            });
  }

  private void askOwner(long ticket, RequestRecord found) {
    RequestKey key = found.spec().key();
    if (found.state() == RecordState.ANSWERED) {
      reply(
          ticket,
          Either.right(
              new Explanation(
                  key, "answered", 0, "the request is answered", List.of(), List.of(), -1)));
      return;
    }
    askedUntilMs.put(ticket, context.now() + TIMEOUT_MS);
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

  private RequestError ownerSilent() {
    return notRun(
        Step.FORWARD, context.self(), "the owner of the region did not answer", RETRY_AFTER_MS);
  }
}
