package dev.bambootray.jobs.worker;

import dev.bambootray.jobs.model.RunName;

/**
 * A run that a worker lists.
 *
 * @param run the run
 * @param checkpoint newest saved progress, or empty
 * @param percent progress, 0 to 100
 */
public record RunningTask(RunName run, String checkpoint, int percent) {}
