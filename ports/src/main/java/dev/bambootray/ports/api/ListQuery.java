package dev.bambootray.ports.api;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Selects a page of a workspace's requests, ordered by idempotency key.
 *
 * @param workspace the workspace
 * @param state only requests in this state, or null for all
 * @param template only requests of this template, or null for all
 * @param afterKey idempotency key to continue after, or null to start at the beginning
 * @param limit maximum number of requests in the page, 1 to 500
 */
public record ListQuery(
    WorkspaceId workspace,
    RequestView.@Nullable State state,
    @Nullable TemplateId template,
    @Nullable String afterKey,
    int limit) {}
