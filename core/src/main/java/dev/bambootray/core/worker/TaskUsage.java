package dev.bambootray.core.worker;

/**
 * A delayed measurement of the resources that a task uses.
 *
 * @param task the task
 * @param used the resources that it uses
 * @param ageMs age of the measurement, in milliseconds
 */
public record TaskUsage(TaskId task, dev.bambootray.core.model.Resources used, long ageMs) {}
