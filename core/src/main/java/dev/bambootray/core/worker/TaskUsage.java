package dev.bambootray.core.worker;

/**
 * Lagging report of what a task uses.
 *
 * @param task the task
 * @param used what it uses
 * @param ageMs how old the reading is, in milliseconds
 */
public record TaskUsage(TaskId task, dev.bambootray.core.model.Resources used, long ageMs) {}
