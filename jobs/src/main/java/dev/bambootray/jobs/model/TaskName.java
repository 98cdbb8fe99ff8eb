package dev.bambootray.jobs.model;

/**
 * Identifies one task of a job.
 *
 * @param job identifier of the job
 * @param occurrence index of the occurrence of the job's steps
 * @param step index of the step
 * @param index index of the task in its step
 */
public record TaskName(String job, int occurrence, int step, int index) {}
