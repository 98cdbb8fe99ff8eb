package dev.bambootray.core.scheduling;

import java.util.Set;

/**
 * A place that is kept for a large waiting job from the time at which it should become free.
 *
 * @param job the job
 * @param workers workers on which later jobs must end by then
 * @param startMs when the job should start
 */
record Reservation(Job job, Set<WorkerSlot> workers, long startMs) {}
