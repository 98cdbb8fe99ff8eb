package dev.bambootray.jobs.model;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param run number of the run, starting at 1; members of a gang share it
 */
public record RunName(TaskName task, int run) {}
