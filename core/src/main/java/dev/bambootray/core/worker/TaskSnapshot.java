package dev.bambootray.core.worker;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import org.jspecify.annotations.Nullable;

/**
 * State of one task as its worker reports it.
 *
 * @param task the task
 * @param key the request that it belongs to
 * @param template the template of the request
 * @param members number of members of its gang
 * @param firstAccelerator index of the first of its adjacent accelerators
 * @param resources the resources that it holds
 * @param phase its phase
 * @param detail result as JSON when finished, checkpoint name when checkpointed, message when
 *     failed or stopped, else null
 * @param ranForMs how long it has run, in milliseconds
 */
public record TaskSnapshot(
    TaskId task,
    RequestKey key,
    TemplateId template,
    int members,
    int firstAccelerator,
    Resources resources,
    TaskPhase phase,
    @Nullable String detail,
    long ranForMs) {}
