package dev.bambootray.jobs.scheduling;

/**
 * Holds the time of an event on two clocks.
 *
 * @param ms monotonic time in milliseconds
 * @param wallMs wall-clock time in milliseconds since the epoch
 */
public record EventTime(long ms, long wallMs) {}
