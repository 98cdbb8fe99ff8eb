package dev.bambootray.jobs.scheduling;

/**
 * The time of an event.
 *
 * @param ms a clock that never jumps, in milliseconds
 * @param wallMs time of day in milliseconds since the epoch
 */
public record Now(long ms, long wallMs) {}
