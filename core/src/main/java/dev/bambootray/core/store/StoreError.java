package dev.bambootray.core.store;

/**
 * A call to the platform's store that got no usable answer.
 *
 * @param peer the part of the platform that was called
 * @param message what went wrong
 * @param maybeApplied whether the call may nevertheless have taken effect
 */
public record StoreError(String peer, String message, boolean maybeApplied) {}
