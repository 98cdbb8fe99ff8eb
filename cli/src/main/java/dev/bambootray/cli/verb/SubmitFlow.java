package dev.bambootray.cli.verb;

import static dev.bambootray.cli.client.NodeSession.encode;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeReply;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.RequestText;
import io.vavr.control.Either;

/**
 * Submits a request and waits for its answer through any of several nodes.
 *
 * <p>Every attempt carries the same idempotency key, so a node that meets the request again answers
 * for the record that was accepted first. An attempt that is refused goes to the next node; after
 * all nodes refused, the flow pauses as long as the last one asked.
 */
final class SubmitFlow {
  private static final long MAX_HOLD_MS = 30_000;
  private static final long MIN_PAUSE_MS = 100;
  private static final long MAX_PAUSE_MS = 5_000;

  private final CliEnvironment environment;
  private final NodeSession session;
  private final String requestsPath;
  private final String key;
  private final String body;
  private final long untilMs;

  SubmitFlow(
      CliEnvironment environment,
      NodeSession session,
      String requestsPath,
      String key,
      String body,
      long waitMs) {
    this.environment = environment;
    this.session = session;
    this.requestsPath = requestsPath;
    this.key = key;
    this.body = body;
    this.untilMs = environment.clock().millis() + waitMs;
  }

  /** Returns the last view of the request, answered or not, once there is no time left. */
  Either<CliFailure, JsonNode> run() {
    boolean accepted = false;
    int refusals = 0;
    while (true) {
      Either<CliFailure, NodeReply> result = session.call(accepted ? await() : submit());
      if (result.isLeft()) {
        if (!pause(MIN_PAUSE_MS * 5)) {
          return Either.left(result.getLeft());
        }
        accepted = false;
        continue;
      }
      NodeReply reply = result.get();
      if (reply.isSuccess()) {
        JsonNode view = reply.json();
        if (RequestText.isAnswered(view) || remainingMs() == 0) {
          return Either.right(view);
        }
        pause(accepted ? MIN_PAUSE_MS : 0);
        accepted = true;
        refusals = 0;
      } else if (accepted && reply.status() == 404) {
        // A request without a record ends with the node that held it.
        accepted = false;
      } else if (reply.isRefusal() && reply.json().path("retryable").asBoolean(true)) {
        session.advance();
        refusals++;
        if (refusals % session.nodes().size() == 0 && !pause(retryAfterMs(reply))) {
          return Either.left(CliFailure.of(reply));
        }
      } else {
        return Either.left(CliFailure.of(reply));
      }
    }
  }

  private NodeCall submit() {
    long holdMs = Math.min(remainingMs(), MAX_HOLD_MS);
    return NodeCall.withBody("POST", requestsPath + "?waitMs=" + holdMs, body, holdMs);
  }

  private NodeCall await() {
    long holdMs = Math.min(remainingMs(), MAX_HOLD_MS);
    return NodeCall.get(requestsPath + "/" + encode(key) + "?waitMs=" + holdMs, holdMs);
  }

  private long remainingMs() {
    return Math.max(0, untilMs - environment.clock().millis());
  }

  private static long retryAfterMs(NodeReply reply) {
    long asked = reply.json().path("retryAfterMs").asLong(MIN_PAUSE_MS);
    return Math.max(MIN_PAUSE_MS, Math.min(asked, MAX_PAUSE_MS));
  }

  /** Waits, and returns false if no time is left for another attempt. */
  private boolean pause(long ms) {
    if (remainingMs() <= ms) {
      return false;
    }
    environment.pause().accept(ms);
    return true;
  }
}
