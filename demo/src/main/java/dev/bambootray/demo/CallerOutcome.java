package dev.bambootray.demo;

import org.jspecify.annotations.Nullable;

/**
 * What a caller saw of its request.
 *
 * @param key workspace and idempotency key as {@code <workspace>/<key>}
 * @param workspace its workspace
 * @param idempotencyKey its key
 * @param repeatable whether it may run more than once
 * @param claim whether it claimed guaranteed capacity that was surely free for it
 * @param firstSentMs when it was first sent, in milliseconds since the epoch
 * @param lastSentMs when it was last submitted
 * @param endMs when the final answer arrived, or when the caller gave up
 * @param accepted whether a node said that it was accepted
 * @param durable whether a node said that its record is in the table
 * @param ran what the final answer says of the run: {@code yes}, {@code no}, {@code unknown}; null
 *     without an answer
 * @param error the error of the final answer, or null
 * @param answer the final answer as JSON text, or null
 */
record CallerOutcome(
    String key,
    String workspace,
    String idempotencyKey,
    boolean repeatable,
    boolean claim,
    long firstSentMs,
    long lastSentMs,
    long endMs,
    boolean accepted,
    boolean durable,
    @Nullable String ran,
    @Nullable String error,
    @Nullable String answer) {

  boolean isAnswered() {
    return ran != null;
  }

  boolean isSuccess() {
    return isAnswered() && error == null;
  }
}
