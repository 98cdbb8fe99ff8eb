package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.WorkspaceId;

/**
 * A guarantee that cannot be placed together with all others.
 *
 * @param workspace the workspace that has the guarantee
 * @param guarantee the guarantee
 * @param missingCount number of its instances that cannot be placed
 * @param missing what is missing, in one sentence
 */
public record MissingGuarantee(
    WorkspaceId workspace, Guarantee guarantee, int missingCount, String missing) {}
