package dev.bambootray.core.scheduling;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A job that waits until the victims on its place have stopped.
 *
 * @param job the job
 * @param cell the guaranteed cell that it claims, or null for a job whose reservation is overdue
 * @param spots its place
 * @param kind the right under which it will hold the place
 * @param sinceMs when it began
 */
record Claim(Job job, @Nullable Cell cell, List<Spot> spots, GrantKind kind, long sinceMs) {}
