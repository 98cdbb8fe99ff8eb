package dev.bambootray.core.scheduling;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A place that is held for a job until the gangs running on it have stopped.
 *
 * @param job the waiting job
 * @param cell the guaranteed cell that the job claims, or null for a job whose reservation is
 *     overdue
 * @param ranges the accelerators that are held
 * @param kind the kind of grant that the job will get
 * @param sinceMs when the claim began
 */
record Claim(
    Job job,
    @Nullable GuaranteedCell cell,
    List<AcceleratorRange> ranges,
    GrantKind kind,
    long sinceMs) {}
