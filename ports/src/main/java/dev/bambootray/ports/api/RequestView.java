package dev.bambootray.ports.api;

import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import org.jspecify.annotations.Nullable;

/**
 * A request as its caller sees it.
 *
 * @param key workspace and idempotency key
 * @param template the template
 * @param state its state
 * @param region the region that serves it
 * @param durable whether its record is in the table, so that any node can answer calls about it
 * @param submittedAtMs when it was accepted, in milliseconds since the epoch
 * @param deadlineAtMs when its answer is due, in milliseconds since the epoch
 * @param answer the answer, or null while there is none
 */
public record RequestView(
    RequestKey key,
    TemplateId template,
    State state,
    RegionId region,
    boolean durable,
    long submittedAtMs,
    long deadlineAtMs,
    @Nullable Answer answer) {

  /** The state of a request. */
  public enum State {
    /** Accepted; no attempt is recorded. */
    ACCEPTED,
    /** The intent to run it is recorded. */
    INTENT,
    /** It has its final answer. */
    ANSWERED
  }
}
