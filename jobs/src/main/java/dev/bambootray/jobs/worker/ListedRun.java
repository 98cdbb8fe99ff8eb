package dev.bambootray.jobs.worker;

import dev.bambootray.jobs.model.RunName;

/**
 * Describes a run in the list of its worker.
 *
 * @param run the run
 * @param checkpoint newest checkpoint, or empty
 * @param percent progress from 0 to 100
 */
public record ListedRun(RunName run, String checkpoint, int percent) {}
