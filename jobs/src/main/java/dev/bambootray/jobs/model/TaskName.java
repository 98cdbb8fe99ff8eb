package dev.bambootray.jobs.model;

/**
 * Names one task of a job.
 *
 * @param job identifier of the job
 * @param occurrence occurrence of the job's steps, counted from 0
 * @param step index of the step
 * @param index index of the task in its step
 */
public record TaskName(String job, int occurrence, int step, int index) {}
