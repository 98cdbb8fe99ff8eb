package dev.bambootray.core.scheduling;

import java.util.Set;

/**
 * Workers that are kept for a waiting job from the time at which they are expected to become free.
 *
 * @param job the job
 * @param workers workers on which later jobs must end before the start
 * @param startMs when the job is expected to start
 */
record Reservation(Job job, Set<PoolWorker> workers, long startMs) {}
