package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.WorkspaceId;

/**
 * A guarantee that cannot be placed together with all others.
 *
 * @param workspace its workspace
 * @param guarantee the guarantee
 * @param missingCount how many of its shapes have no place
 * @param missing what is missing, one sentence
 */
public record MissingGuarantee(
    WorkspaceId workspace, Guarantee guarantee, int missingCount, String missing) {}
