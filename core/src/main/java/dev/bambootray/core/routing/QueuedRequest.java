package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RequestSpec;

/**
 * A service request that waits for a slot.
 *
 * @param spec the request
 * @param template its template
 */
public record QueuedRequest(RequestSpec spec, TemplateDeclaration template) {}
