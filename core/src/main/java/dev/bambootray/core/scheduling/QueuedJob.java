package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RequestSpec;
import org.jspecify.annotations.Nullable;

/**
 * A gang request that waits for accelerators.
 *
 * @param spec the request
 * @param template the template of the request
 * @param checkpoint name of the checkpoint to resume from, or null
 */
public record QueuedJob(
    RequestSpec spec, TemplateDeclaration template, @Nullable String checkpoint) {}
