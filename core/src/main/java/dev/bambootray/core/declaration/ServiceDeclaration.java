package dev.bambootray.core.declaration;

import dev.bambootray.core.model.ServiceId;

/**
 * A service whose targets answer requests.
 *
 * @param id the service
 * @param slotsPerTarget requests that one target runs at a time
 * @param connectionsPerTarget open connections that one target allows over all nodes
 */
public record ServiceDeclaration(ServiceId id, int slotsPerTarget, int connectionsPerTarget) {}
