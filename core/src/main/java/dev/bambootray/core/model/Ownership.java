package dev.bambootray.core.model;

/**
 * The ownership of a region, under which one node makes the decisions for it.
 *
 * @param region the region
 * @param owner the node that owns the region
 * @param epoch rises by one with each change of owner; workers and peers refuse lower epochs
 */
public record Ownership(RegionId region, NodeId owner, long epoch) {}
