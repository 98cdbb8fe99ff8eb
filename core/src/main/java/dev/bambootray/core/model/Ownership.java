package dev.bambootray.core.model;

/**
 * A claim to decide for a region.
 *
 * @param region the region
 * @param owner the node that holds the claim
 * @param epoch rises by one with each change of owner; workers and peers refuse lower epochs
 */
public record Ownership(RegionId region, NodeId owner, long epoch) {}
